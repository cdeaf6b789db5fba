#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand review/stand-2/main.rs
