#!/usr/bin/env bash
# Replaces the processes of a small deployment one after the other, from the build of COMMIT to this
# one and back, under load. Prints what was served, refused, unknown and broken.
# Usage: scripts/upgrade.sh [COMMIT]; the last commit of origin/main unless given. STOP_SEEDS sets the
# number of seeds. Exits with 2 if COMMIT can't be had or built.
set -u
cd "$(git rev-parse --show-toplevel)" || exit 2
commit=$(git rev-parse -q --verify "${1:-origin/main}^{commit}") || {
    echo "no commit '${1:-origin/main}': not run" >&2
    exit 2
}
folder=$PWD/target/upgrade
tree=$folder/source
program=$folder/hawthornkeel-$commit
if [ ! -x "$program" ]; then
    trap 'git worktree remove --force "$tree" 2>/dev/null' EXIT
    git worktree remove --force "$tree" 2>/dev/null
    git worktree add -q --detach "$tree" "$commit" || exit 2
    (cd "$tree" && CARGO_TARGET_DIR=$folder/build cargo build --release --locked -p hawthornkeel) ||
        exit 2
    cp "$folder/build/release/hawthornkeel" "$program"
fi
UPGRADE_FROM=$program cargo test -p hawthornkeel --locked --test upgrades
