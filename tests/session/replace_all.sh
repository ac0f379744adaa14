#!/bin/bash
# A rolling upgrade under load must lose no request: every entry in turn is
# stopped with SIGTERM and restarted. A stopping entry hands its seats to peers
# and finishes its requests before it exits; look-up answers direct callers to
# other entries. Every entry must exit with 0, and every request must have an
# outcome.
# usage: replace_all.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh

replace() { # NAME
    local rc=0
    gw_stop_entry "$1" || rc=$?
    [ "$rc" -eq 0 ] || gw_fail "SIGTERM to $1: exit $rc" || return 1
    gw_start_entry "$1"
    gw_await 60 gw_entry_ready "$1" || gw_fail "$1 is not ready again"
}

gw_begin "${1:?usage: replace_all.sh BUILD}" hen-viec-small || exit 2
gw_system || exit 1
gw_start_callers --rate "${GW_RATE:-60}"
for name in "${gw_entries[@]}"; do
    replace "$name" || exit 1
    gw_say "$name replaced"
done
gw_await 60 gw_all_at "$(gw_head)" ||
    gw_fail "an entry is not at the newest version" || exit 1
gw_end_callers || exit 1
