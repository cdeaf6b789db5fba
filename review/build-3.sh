#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15, without the network.
# The project itself is built before, by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-3/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -o "target/review-3/$name" "$source"
done
