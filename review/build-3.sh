#!/bin/sh
# Builds the stand-ins of the third review's scripts. It needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/stand-3/Cargo.toml --target-dir target/review-3
