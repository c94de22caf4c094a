#!/usr/bin/env bash
# Checks the models under spec/: the right ones must hold over their whole state space, and each
# wrong variant must end in a violated assertion, so that no check is empty.
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=${MODEL_JOBS:-4}
seconds_limit=900
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

three_epochs="-DEPOCHS=3 -DWITHOUT_CALLS -DWITHOUT_CRASHES -DWITHOUT_STORE_READS -DOWNERS_IN_TURN"

# verdict|specification|options
runs=(
    "holds|ownership|-DEPOCHS=2"
    "holds|ownership|-DEPOCHS=2 -DCALM -DWITHOUT_CALLS"
    "holds|ownership|$three_epochs"
    "fails|ownership|-DEPOCHS=2 -DWRONG_WAIT_ONE_TERM"
    "fails|ownership|-DEPOCHS=2 -DWRONG_VOUCH_WITHOUT_MAJORITY"
    "fails|ownership|-DEPOCHS=2 -DWRONG_NO_WAIT_AT_TAKEOVER"
    "fails|ownership|-DEPOCHS=2 -DWRONG_NO_WAIT_AFTER_ADOPTION"
    "fails|ownership|-DEPOCHS=2 -DWRONG_NO_MAJORITY_AT_FENCE"
    "fails|ownership|-DEPOCHS=2 -DWRONG_REBORN_VOUCHES"
    "fails|ownership|-DEPOCHS=2 -DWRONG_NO_WAIT_FOR_OLD_PERMITS"
    "fails|ownership|-DEPOCHS=2 -DWRONG_NO_PERMIT_DEADLINE"
    "fails|ownership|-DEPOCHS=2 -DCALM -DWITHOUT_CALLS -DWRONG_NEVER_TAKES"
    "fails|ownership|$three_epochs -DWRONG_OWN_EARLIER_EPOCH_ONLY"
)

# check NUMBER RUN: prints one line and fails if the verdict is not the expected one.
check() {
    set -euo pipefail
    local number=$1 expected specification options
    IFS='|' read -r expected specification options <<<"$2"
    local place="$work/$number"
    mkdir "$place"
    cd "$place"
    # shellcheck disable=SC2086
    spin -a $options "$OLDPWD/spec/$specification.pml" >spin.log
    cc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
    timeout "$seconds_limit" ./pan -m2000000 -w24 >pan.log 2>&1 || true
    local states verdict=unfinished
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    if grep -q 'assertion violated' pan.log; then
        verdict=fails
    elif grep -q 'errors: 0' pan.log && ! grep -qE 'truncated|too small|out of memory' pan.log; then
        verdict=holds
    fi
    printf '%-10s expected %-6s %10s states  %s %s\n' "$verdict" "$expected" "$states" \
        "$specification" "$options"
    [[ $verdict == "$expected" ]]
}
export -f check
export work seconds_limit

for number in "${!runs[@]}"; do
    printf '%s\0%s\0' "$number" "${runs[$number]}"
done | xargs -0 -P "$jobs" -n 2 bash -c 'check "$1" "$2"' check
echo "model: every verdict as expected"
