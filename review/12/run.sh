#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hawthornkeel ] && [ -x target/review-3/second_loss ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
exec timeout --signal=KILL 115 target/review-3/second_loss review/12
