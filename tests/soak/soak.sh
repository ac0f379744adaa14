#!/bin/bash
# Runs the fault soak with seeds FIRST to FIRST+COUNT-1, several in parallel.
# Prints each guarantee with the seeds that violated it.
# usage: soak.sh BUILD FIRST COUNT      SOAK_JOBS=4 seeds in parallel
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
export out=$1
first=$2
count=$3

one() { # SEED
    local log=$out/soak-$1.log
    if tests/soak/one.sh "$out" "$1" >"$log" 2>&1; then
        echo "ok    soak seed $1"
    else
        cat "$log"
        echo "FAIL  soak seed $1"
    fi
}
export -f one

seq "$first" $((first + count - 1)) |
    xargs -P "${SOAK_JOBS:-4}" -I{} bash -c 'one {}' |
    tee "$out/soak-seeds.log"
guarantees=(at-most-once true-refusals own-answers drains cancels rows service events links
    stops no-cuts pipelines refusals-in-stops outcomes recovery versions ends)
for guarantee in "${guarantees[@]}"; do
    seeds=
    for ((seed = first; seed < first + count; seed++)); do
        grep -q "^broken: $guarantee " "$out/soak-$seed.log" && seeds+=" $seed"
    done
    echo "promise $guarantee:${seeds:- kept}"
done
failed=$(grep -c '^FAIL' "$out/soak-seeds.log")
echo "soak: $((count - failed)) seeds ok, $failed failed"
[ "$failed" -eq 0 ]
