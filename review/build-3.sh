#!/usr/bin/env bash
# Builds what the scripts in review/11 to review/15 start beside the deployed program, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-3 review/standin-3/case.rs
