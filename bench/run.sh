#!/bin/bash
# Measures the request path through one entry, then runs the other benchmarks.
# usage: run.sh BUILD    GW_BENCH_SECONDS (10), GW_PORT_BASE (21000)
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
export GW_SERVICE_MS=0
. standins/lib.sh

seconds=${GW_BENCH_SECONDS:-10}

start_system() {
    gw_regions=(ha-noi)
    gw_entries=(ha-noi-1)
    gw_start_platform || return 1
    gw_start_backends ha-noi --sigma 0 || return 1
    gw_start_entry ha-noi-1
    gw_await 10 gw_admin_up ha-noi-1 || return 1
    gw_configuration 12 >"$gw_dir/steering.json"
    gw_await 20 gw_apply ha-noi-1 "$gw_dir/steering.json" \
        >"$gw_dir/apply.log" 2>&1 || return 1
    gw_await 20 gw_entry_ready ha-noi-1 &&
        gw_await 20 gw_answers "${gw_call[ha-noi-1]}" /v1/call/lich-hen/slots/k1
}

run_path() { # RATE
    local backends
    mapfile -t backends < <(gw_backends_of ha-noi |
        awk '$1 == "lich-hen" { print $3 }')
    "$gw_out"/bench_path "${gw_call[ha-noi-1]}" "${gw_pid[ha-noi-1]}" \
        "$1" "$seconds" "${backends[@]}"
}

gw_begin "${1:?usage: run.sh BUILD}" hen-viec || exit 2
start_system || gw_fail "the system did not start" || exit 1
run_path 370
run_path 3700
gw_end ha-noi-1 TERM || gw_fail "the entry did not stop cleanly"
for bench in "$gw_out"/bench_*; do
    case $bench in
    */bench_path | *.d | *.log) continue ;;
    esac
    echo "$(basename "$bench"):"
    "$bench" || exit 1
done
