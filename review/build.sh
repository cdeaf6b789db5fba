#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, with the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
