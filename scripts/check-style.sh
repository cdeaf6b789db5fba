#!/usr/bin/env bash
# Checks the rules of CONTRIBUTING.md that the formatter and the linter don't cover.
set -u
cd "$(git rev-parse --show-toplevel)" || exit 2
bad=0
report() {
    if [ -n "$2" ]; then
        printf 'style: %s\n%s\n' "$1" "$2"
        bad=1
    fi
}
report 'more than one import on a line' "$(git grep -nE '^\s*(pub )?use .*[{]' -- '*.rs')"
report 'tests live in test files' "$(git grep -nE 'cfg\(test\)' -- '*/src/*.rs')"
report 'io_uring drivers and child processes are ruled out in shipped code' \
    "$(git grep -nE 'FusionDriver|IoUringDriver|process::Command' -- 'hawthornkeel*/src/*.rs' ':!hawthornkeel_fakes')"
report 'unfinished or skipped' "$(git grep -nE '#\[ignore|todo!\(|unimplemented!\(' -- '*.rs')"
report 'machine path or address of a registry' \
    "$(git grep -nE '/work/|/root/|crates\.io/|/tmp/bash' -- ':!scripts/check-style.sh' ':!Cargo.lock')"
exit "$bad"
