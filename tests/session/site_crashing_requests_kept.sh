#!/bin/bash
# A quarantine must survive the death of all entries: while callers repeat a
# request that crashes servers, all entries are killed at once. The restarted
# entries must know the request without further crashes.
# usage: site_crashing_requests_kept.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

is_held() { # ENTRY
    site_ctl "$1" suspects 2>/dev/null | grep -E ' held ' >/dev/null
}

site_begin "$1" --seconds 14 --callers 10 --crashers 2 || exit 1
for name in "${site_entries[@]}"; do
    gw_await 8 is_held "$name" || gw_fail "$name quarantines nothing" || exit 1
done
sleep 4 # past SITE_EXCHANGE_US: further sends count
for name in "${site_entries[@]}"; do
    gw_end "$name" KILL
done
for name in "${site_entries[@]}"; do
    site_start_entry "$name"
done
rc=0
site_conclude || rc=1
grep -E '^(crasher|crashes:)' "$gw_dir/simulator.log"
grep -E '^crasher ' "$gw_dir/simulator.log" | grep -qv ' 0 sends after' &&
    { gw_fail "further servers received the request"; rc=1; }
for name in "${site_entries[@]}"; do
    is_held "$name" || gw_fail "$name has lost the quarantine" || rc=1
done
exit $rc
