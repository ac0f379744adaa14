#!/bin/bash
# Runs the complete system of one site under failures and load.
# usage: demo.sh BUILD SITE     SITE: hen-viec (default) or dyehouse
#
# Prints the effect of each failure, the report of the callers and the "demo:"
# line. Exits with 1 when a request ran twice, was falsely refused, wrongly
# answered or had no outcome, or a graceful stop failed.
# Environment: GW_RATE (200 per second), GW_SEED, and those of standins/lib.sh.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
. standins/lib.sh

duration_s=52
store_down_s=10
bad=0

at() { # SECOND: waits until this second of the run
    local wait_ms=$((begin_ms + $1 * 1000 - $(gw_now_ms)))
    [ "$wait_ms" -le 0 ] || sleep "$((wait_ms / 1000)).$(
        printf '%03d' $((wait_ms % 1000)))"
}

note() {
    gw_say "$*" >>"$gw_dir/notes"
}

fault() { # TEXT: records a failed check
    note "FAULT: $*"
    bad=1
}

start_callers() {
    local regions
    mapfile -t regions < <(gw_caller_regions)
    gw_start callers "$gw_out"/standin_callers --mix "$gw_mix" \
        --rate "${GW_RATE:-200}" --duration "$duration_s" \
        --seed "${GW_SEED:-1}" --journals "$(gw_all_controls)" \
        --report "$gw_dir/report.json" "${regions[@]}"
    begin_ms=$(gw_now_ms)
}

# Changes a cap and measures the time until every entry has the change.
change_configuration() {
    local entry=${gw_entries[1]} before
    before=$(gw_version "$entry")
    gw_configuration 10 >"$gw_dir/steering-2.json"
    local order_ms accepted_ms
    order_ms=$(gw_now_ms)
    if ! gw_apply "$entry" "$gw_dir/steering-2.json" \
        >"$gw_dir/apply-2.log" 2>&1; then
        fault "the configuration change was not accepted"
        return
    fi
    accepted_ms=$(gw_now_ms)
    if gw_await 20 gw_all_at $((before + 1)); then
        note "configuration change: accepted after" \
            "$((accepted_ms - order_ms)) ms, in force everywhere" \
            "$(($(gw_now_ms) - accepted_ms)) ms later"
    else
        fault "the configuration change did not reach every entry in 20 s"
    fi
}

drain_backend() {
    drain_region=${gw_regions[0]}
    drain_name=$(gw_first_service)-01
    gw_backend "$drain_region" "$drain_name" '"drain": true' ||
        fault "the drain request failed"
}

stat_of() { # KEY: a statistic of the drained server
    gw_request GET "${gw_control[$drain_region]}" /stats |
        grep -o "{[^{}]*\"$drain_name\"[^{}]*}" |
        sed -n "s/.*\"$1\": *\(-\{0,1\}[0-9]*\).*/\1/p"
}

report_drain() {
    local idle offer
    idle=$(stat_of drain_idle_ms)
    offer=$(stat_of drain_last_offer_ms)
    if [ "${idle:--1}" -lt 0 ]; then
        fault "$drain_name did not become idle after its drain order"
    else
        note "drain of $drain_name: idle after $idle ms, last new work" \
            "offered after ${offer/#-1/0} ms (and refused by it)"
    fi
}

# Stops an entry: listed as leaving before SIGTERM, and as gone after its exit.
stop_entry() {
    local name=$1 rc=0 from_ms
    from_ms=$(gw_now_ms)
    gw_list "$name" leaving
    gw_end "$name" TERM || rc=$?
    gw_list "$name" gone
    if [ "$rc" -eq 0 ]; then
        note "SIGTERM to $name: exit 0 after $(($(gw_now_ms) - from_ms)) ms"
    else
        fault "SIGTERM to $name: exit $rc"
    fi
}

kill_entry() {
    gw_end "$1" KILL
    gw_list "$1" gone
    note "SIGKILL to $1"
}

replace_entry() {
    local from_ms
    from_ms=$(gw_now_ms)
    gw_start_entry "$1"
    if gw_await 15 gw_entry_ready "$1"; then
        note "$1 started again: ready after $(($(gw_now_ms) - from_ms)) ms"
    else
        fault "$1 started again and was not ready in 15 s"
    fi
}

check_alive() {
    local name
    for name in "${gw_entries[@]}"; do
        [ "$name" = "$1" ] || gw_alive "$name" || fault "$name has ended"
    done
}

run_failures() {
    local stopped=${gw_entries[4]} killed=${gw_entries[6]}
    at 4
    change_configuration
    at 9
    drain_backend
    at 14
    stop_entry "$stopped"
    at 22
    kill_entry "$killed"
    at 28
    replace_entry "$killed"
    at 33
    gw_fault "\"mode\": \"down\", \"for_ms\": $((store_down_s * 1000))" ||
        fault "the fault request for the store failed"
    note "store down for $store_down_s s"
    at "$duration_s"
    check_alive "$stopped"
}

gw_begin "${1:?usage: demo.sh BUILD SITE}" "${2:-hen-viec}" || exit 2
: >"$gw_dir/notes"
gw_system || exit 2
start_callers
run_failures
report_drain
callers_rc=0
wait "${gw_pid[callers]}" || callers_rc=$?
unset 'gw_pid[callers]'
grep -v '^demo: ' "$gw_dir/callers.log"
cat "$gw_dir/notes"
grep '^demo: ' "$gw_dir/callers.log" || {
    gw_fail "the callers printed no summary line (exit $callers_rc)"
    exit 1
}
[ "$callers_rc" -eq 0 ] && [ "$bad" -eq 0 ]
