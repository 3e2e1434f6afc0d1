#!/bin/sh
# Builds the stand-in that the scripts start; needs no crates.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
