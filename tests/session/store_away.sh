#!/bin/bash
# The platform's store is unavailable for a minute under load. Meanwhile a
# backend server announces a drain, an operator drains a place, and all entries
# of a region are killed.
#
# No request may run twice, be falsely refused or wrongly answered. The drain
# of the server needs no store, so the server must become idle during the
# outage. The drain of the place is reported as pending, and must be resolved
# by its request id after the outage. The killed entries must restart, every
# entry must reach the newest version, and the drained place must become idle.
# usage: store_away.sh BUILD      GW_AWAY_S (60)
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh

away_ms=$((${GW_AWAY_S:-60} * 1000))
request=drain-while-away

# Sums a number over the servers of a service in a region.
sum_of() { # REGION SERVICE KEY
    gw_request GET "${gw_control[$1]}" /stats | grep -o '{[^{}]*}' |
        grep "\"service\": *\"$2\"" |
        sed -n "s/.*\"$3\": *\([0-9]*\).*/\1/p" |
        awk '{sum += $1} END {print sum + 0}'
}

backend_idle() { # REGION NAME
    gw_request GET "${gw_control[$1]}" /stats | grep -o '{[^{}]*}' |
        grep "\"$2\"" | grep -q '"drain_idle_ms": *[0-9]'
}

order_place_drain() { # REGION
    gw_ctl "${gw_entries[0]}" --request-id "$request" drain place \
        "$service" "$1"
}

# Succeeds when no request is in flight in the place and none started during
# the last second under load.
place_idle() { # REGION SERVICE
    local before
    before=$(sum_of "$1" "$2" runs)
    sleep 1
    [ "$(sum_of "$1" "$2" in_flight)" -eq 0 ] &&
        [ "$(sum_of "$1" "$2" runs)" -eq "$before" ]
}

settled() {
    gw_ctl "${gw_entries[0]}" operation "$request" >/dev/null 2>&1
    [ $? -ne 3 ]
}

entries_of() { # REGION
    local name
    for name in "${gw_entries[@]}"; do
        [ "${gw_region[$name]}" != "$1" ] || echo "$name"
    done
}

gw_begin "${1:?usage: store_away.sh BUILD}" hen-viec-small || exit 2
gw_system || exit 1
service=$(gw_first_service)
place=${gw_regions[0]}
killed=${gw_regions[2]}
mapfile -t victims < <(entries_of "$killed")
gw_start_callers --rate "${GW_RATE:-60}"
version=$(gw_head)

from_ms=$(gw_now_ms)
gw_fault "\"mode\": \"down\", \"for_ms\": $away_ms" || exit 1
gw_backend "$place" "$service-01" '"drain": true' || exit 1
gw_await 30 backend_idle "$place" "$service-01" ||
    gw_fail "$service-01 did not become idle" || exit 1
gw_say "$service-01 idle during the store outage"
rc=0
order_place_drain "$place" || rc=$?
[ "$rc" -eq 3 ] || gw_fail "a change without the store: exit $rc, not 3" ||
    exit 1
for name in "${victims[@]}"; do
    gw_end "$name" KILL
    gw_list "$name" gone
done
gw_say "killed: ${victims[*]}"
sleep "$(((away_ms - $(gw_now_ms) + from_ms) / 1000 + 1))"

gw_await 60 settled || gw_fail "$request stays pending" || exit 1
rc=0
gw_ctl "${gw_entries[0]}" operation "$request" || rc=$?
if [ "$rc" -ne 0 ]; then # void: neither applied nor applicable later
    request=$request-again
    order_place_drain "$place" || exit 1
fi
for name in "${victims[@]}"; do
    gw_start_entry "$name"
done
for name in "${victims[@]}"; do
    gw_await 60 gw_entry_ready "$name" ||
        gw_fail "$name is not ready again" || exit 1
done
[ "$(gw_head)" -eq $((version + 1)) ] ||
    gw_fail "the drain is in force $(($(gw_head) - version)) times" || exit 1
gw_await 60 gw_all_at $((version + 1)) ||
    gw_fail "an entry is not at the newest version" || exit 1
gw_await 60 place_idle "$place" "$service" ||
    gw_fail "$service in $place is not idle" || exit 1
gw_say "$service in $place idle after the drain"
gw_end_callers || exit 1
