#!/usr/bin/env bash
# Searches the state space of each model in the table exhaustively and compares the verdict with the expected one.
#
# Usage: spec/check.sh [PATTERN]
# With an extended regular expression, checks only the matching lines of the table.
set -euo pipefail
cd "$(dirname "$0")"

# Model, preprocessor options, expected verdict: "none" (no error) or "error" (an assertion is violated).
table() {
    cat << 'END'
log.pml   | -DMAXTERM=5 -DMAXLOG=4                                              | none
log.pml   | -DLOSSES=1 -DMAXTERM=3 -DMAXLOG=5                                   | none
log.pml   | -DLOSSES=2 -DMAXTERM=3 -DMAXLOG=7 -DCOMMANDS=0                      | none
log.pml   | -DPERIOD=2 -DMAXTERM=3 -DMAXLOG=4                                   | none
log.pml   | -DPERIOD=1 -DLOSSES=1 -DMAXTERM=3 -DMAXLOG=5 -DCOMMANDS=0           | none
log.pml   | -DBROKEN_DOUBLE_VOTE -DMAXTERM=3 -DMAXLOG=4                         | error
log.pml   | -DBROKEN_VOTE_NOT_DURABLE -DMAXTERM=3 -DMAXLOG=4                    | error
log.pml   | -DBROKEN_COMMIT_EARLIER_TERM -DMAXTERM=5 -DMAXLOG=4                 | error
log.pml   | -DBROKEN_EMPTY_MEMBER_COUNTS -DLOSSES=1 -DMAXTERM=3 -DMAXLOG=5      | error
log.pml   | -DBROKEN_CHANGE_UNCOMMITTED -DLOSSES=1 -DMAXTERM=3 -DMAXLOG=5       | error
log.pml   | -DBROKEN_PROMOTE_AT_ONCE -DLOSSES=1 -DMAXTERM=3 -DMAXLOG=5          | error
log.pml   | -DBROKEN_LEASE_OUTLIVES_LEADER -DPERIOD=2 -DMAXTERM=3 -DMAXLOG=4    | error
log.pml   | -DBROKEN_NO_WAIT -DPERIOD=2 -DMAXTERM=3 -DMAXLOG=4                  | error
log.pml   | -DBROKEN_NO_FLOOR -DPERIOD=2 -DMAXTERM=3 -DMAXLOG=4                 | error
log.pml   | -DBROKEN_NEW_LEADER_WITHOUT_FLOOR -DPERIOD=2 -DMAXTERM=3 -DMAXLOG=4 | error
log.pml   | -DREACH_LAST_TERM -DMAXTERM=5 -DMAXLOG=6                            | error
log.pml   | -DREACH_REPLACED -DLOSSES=2 -DMAXTERM=3 -DMAXLOG=7 -DCOMMANDS=0     | error
log.pml   | -DREACH_IN_FORCE -DPERIOD=2 -DMAXTERM=3 -DMAXLOG=4                  | error
claim.pml |                                                                     | none
claim.pml | -DSEND_BEFORE_DURABLE                                               | error
claim.pml | -DRETRY_AFTER_SEND                                                  | error
claim.pml | -DFORGET_IN_WINDOW                                                  | error
claim.pml | -DSETTLE_ANY_RUN                                                    | error
claim.pml | -DREOPEN_LOST                                                       | error
claim.pml | -DNOT_RUN_AFTER_SEND                                                | error
claim.pml | -DREACH_DONE                                                        | error
claim.pml | -DREACH_SECOND_RUN                                                  | error
END
}

# Three concurrent searches with this limit for each need less than 2 GB in total.
jobs=3
memory_mb=650

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Runs one line of the table, prints its verdict and fails if the verdict is not the expected one.
check() {
    local model options expected folder errors states seconds
    IFS='|' read -r model options expected <<< "$1"
    model=${model// /}
    expected=${expected// /}
    read -r options <<< "$options" || true
    folder=$(mktemp -d "$work/XXXXXX")
    cp "$model" "$folder/"
    cd "$folder"
    local begin=$SECONDS
    # A search that ends with an error visits few states, so that compiling without optimisation is faster overall.
    local optimise=-O2
    if [ "$expected" = error ]; then
        optimise=-O0
    fi
    # shellcheck disable=SC2086
    if ! spin -a $options "$model" > spin.log 2>&1 || [ -s spin.log ] \
        || ! gcc $optimise -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c > gcc.log 2>&1; then
        echo "FAILED  $model $options: does not compile"
        cat spin.log gcc.log 2> /dev/null || true
        return 1
    fi
    ./pan -E -m100000 > pan.log 2>&1 || true
    seconds=$((SECONDS - begin))
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    local verdict=unknown
    if [ "${errors:-}" = 0 ] && ! grep -qE 'max search depth|out of memory|Search not completed' pan.log; then
        verdict=none
    elif [ "${errors:-0}" -gt 0 ] && grep -q 'assertion violated' pan.log; then
        verdict=error
    fi
    if [ "$verdict" != "$expected" ]; then
        echo "FAILED  $model $options: expected $expected, found $verdict (${states:-?} states, $seconds s)"
        cat pan.log
        return 1
    fi
    echo "ok      $model $options: $verdict as expected (${states:-?} states, $seconds s)"
}

export work memory_mb
export -f check
table | grep -E "${1:-.}" | tr '\n' '\0' | xargs -0 -P "$jobs" -I LINE bash -euo pipefail -c 'check "$1"' check LINE
echo "all models gave the expected verdicts"
