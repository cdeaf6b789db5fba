#!/usr/bin/env bash
# Runs the policy bench of BASE and of the work tree and prints our policy's tables side by side.
# Usage: scripts/compare-policy.sh [BASE] [SEED...]; BASE is origin/main, or else the merge base with
# main; seed 1 unless given. CARGO_FLAGS goes to cargo. Fails where the work tree's bench fails.
set -u
cd "$(git rev-parse --show-toplevel)" || exit 2
base=origin/main
git rev-parse -q --verify "$base^{commit}" >/dev/null || base=$(git merge-base HEAD main)
if [ $# -gt 0 ] && ! [[ $1 =~ ^[0-9]{1,6}$ ]]; then
    base=$1
    shift
fi
commit=$(git rev-parse -q --verify "$base^{commit}") || { echo "no commit '$base'" >&2; exit 2; }
here=$PWD
tree=$here/target/policy-base
results=$(mktemp -d)
trap 'rm -rf "$results"; git worktree remove --force "$tree" 2>/dev/null' EXIT
git worktree remove --force "$tree" 2>/dev/null
git worktree add -q --detach "$tree" "$commit" || exit 2

# Builds the bench of a directory, with its own build directory, and copies its program.
build() {
    local line
    # shellcheck disable=SC2086
    line=$(cd "$1" && CARGO_TARGET_DIR=$2 cargo bench --locked ${CARGO_FLAGS:-} \
        -p hawthornkeel_core --bench policy --no-run --message-format=json |
        grep '"name":"policy"' | grep -o '"executable":"[^"]*"' | cut -d'"' -f4)
    [ -n "$line" ] && cp "$line" "$3"
}
build "$tree" "$here/target/policy-base-build" "$results/base-bench" || { echo "the bench of $base does not build" >&2; exit 2; }
build "$here" "$here/target" "$results/here-bench" || { echo "the bench here does not build" >&2; exit 2; }

failed=0
for seed in "${@:-1}"; do
    "$results/base-bench" "$seed" >"$results/base"
    "$results/here-bench" "$seed" >"$results/here" || failed=1
    printf 'seed %s; attained, answers/what targets can do, wasted, worst second, time to level, cold falls\n' "$seed"
    awk -F'|' -v base="$base" '
        function trim(text) { gsub(/^ +| +$/, "", text); return text }
        function cell(text, n,  parts) { split(trim(text), parts, / +/); return parts[n] + 0 }
        !/^ *[0-9]+% / || NF != 3 { next }
        FNR == NR { ours[trim($1)] = $2; next }
        !seen++ { printf "%-29s| %-44s| %-44s| attained, wasted: points\n", "load fault", base, "here" }
        { key = trim($1); old = ours[key] }
        old == "" { printf "%-29s| %-44s|%s|\n", key, " not in its bench", $2; next }
        { printf "%-29s|%s|%s| %+.3f %+.2f\n", key, old, $2, cell($2, 1) - cell(old, 1),
              cell($2, 3) - cell(old, 3) }
    ' "$results/base" "$results/here"
    sed -n '/^broken bounds/,$p; /^all bounds hold/p' "$results/here"
done
exit "$failed"
