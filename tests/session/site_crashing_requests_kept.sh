#!/bin/bash
# Guards against: a quarantine that ends with the last entry that knows it.
# While callers repeat requests that crash servers, all entries are killed at
# once. The restarted entries must know the requests without further crashes,
# also when the store answers reads of the quarantined requests later than
# those of all other tables.
# usage: site_crashing_requests_kept.sh BUILD [up|without-held...]
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

is_held() { # ENTRY
    site_ctl "$1" suspects 2>/dev/null | grep -E '^[0-9a-f]{32} held ' >/dev/null
}

# The store is in the given mode while the entries start again.
play() { # BUILD STORE_MODE
    local name rc=0
    gw_begin "$1" hen-viec-small || return 1
    site_begin_with_events --seconds 60 --callers 10 --crashers 2 || return 1
    for name in "${site_entries[@]}"; do
        gw_await 20 is_held "$name" ||
            gw_fail "$name quarantines nothing" || return 1
    done
    sleep 4 # past SITE_EXCHANGE_US: further sends count
    site_send_event store "$2"
    for name in "${site_entries[@]}"; do
        site_signal_with_event "$name" KILL
        site_wait_end "$name"
    done
    for name in "${site_entries[@]}"; do
        site_start_with_event "$name"
    done
    sleep 1
    site_send_event store up
    sleep 5
    for name in "${site_entries[@]}"; do
        is_held "$name" || gw_fail "$name has lost the quarantine" || rc=1
    done
    site_send_event end
    site_conclude || rc=1
    grep -E '^(crasher|crashes:)' "$gw_dir/simulator.log"
    grep -E '^crasher ' "$gw_dir/simulator.log" | grep -qv ' 0 sends after' &&
        { gw_fail "further servers received the request"; rc=1; }
    return $rc
}

out=$1
shift
modes=("$@")
[ $# -gt 0 ] || modes=(up without-held)
rc=0
for mode in "${modes[@]}"; do
    gw_say "store: $mode"
    (play "$out" "$mode") || rc=1
done
exit $rc
