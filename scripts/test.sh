#!/usr/bin/env bash
# Runs all tests. A test that fails and is listed in KNOWN-RED.txt is printed and passed over; any
# other failure fails the run. Arguments go to `cargo test`.
set -u
cd "$(dirname "$0")/.." || exit 2
output=$(mktemp)
trap 'rm -f "$output"' EXIT
cargo test --workspace --locked --no-fail-fast "$@" 2>&1 | tee "$output"
status=${PIPESTATUS[0]}

# Each failure as FILE::TEST, FILE being the path that cargo prints on its "Running" line.
failed=$(awk '
    /^ +Running / { file = ($2 == "unittests") ? $3 : $2 }
    /^ +Doc-tests / { file = "doc-tests-" $2 }
    /^test .* \.\.\. FAILED$/ { print file "::" $2 }
' "$output" | sort -u)
known=$(grep -v '^#' KNOWN-RED.txt 2>/dev/null | cut -d'|' -f1 | sed 's/ *$//' | grep . | sort -u)

new=$(comm -23 <(printf '%s\n' "$failed" | grep .) <(printf '%s\n' "$known" | grep .))
if [ -n "$known" ]; then
    printf '\nKnown to fail (KNOWN-RED.txt):\n%s\n' "$known"
fi
if [ -n "$new" ]; then
    printf '\nFailed and not listed in KNOWN-RED.txt:\n%s\n' "$new"
    exit 1
fi
# A test program that failed without naming a test did not build or crashed.
programs=$(grep -c '^error: test failed, to rerun pass' "$output")
named=$(printf '%s\n' "$failed" | grep . | sed 's/::.*//' | sort -u | grep -c .)
if [ "$status" -ne 0 ] && { [ -z "$failed" ] || [ "$programs" -gt "$named" ]; }; then
    printf '\nA test program failed without naming a test.\n'
    exit 1
fi
passed=$(awk '/^test result:/ { sum += $4 } END { print sum + 0 }' "$output")
count=$(printf '%s\n' "$failed" | grep -c .)
printf '\n%s passed, %s failed\n' "$passed" "$count"
