#!/usr/bin/env bash
# Plays the case of claim.txt and writes record.txt. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 there is no
# disruption.
set -um
cd "$(dirname "$0")/../.." || exit 2
stand=target/review-2/release/review-stand-2
[ -x "$stand" ] && [ -x target/release/ebonywalld ] || exit 2
"$stand" letters review/6/record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
