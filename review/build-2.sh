#!/usr/bin/env bash
# Builds the stand-ins of review/stand-2, which have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
  --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
