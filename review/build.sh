#!/usr/bin/env bash
# Builds the stand-in that the scripts start; needs only the Rust toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -C opt-level=2 -D warnings -o target/review-stand review/stand/main.rs
