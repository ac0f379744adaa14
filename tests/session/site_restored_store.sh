#!/bin/bash
# Guards against: after the store was restored from a copy, entries take its
# versions for older ones, and what is written then is never in force.
# usage: site_restored_store.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_entries=(e1 e2 e3 e4)
# Longest wait for a change that is in force within 2.5 s on a calm machine.
wait_s=20

# Writes configurations, each with another idle limit.
change_config() { # COUNT
    local i
    for ((i = 0; i < $1; i++)); do
        site_send_event config $((15000 + i))
        newest=$((newest + 1))
    done
}

version_of() { # NAME
    sed -n 's/.*name=CONFIG_IN_FORCE version=\([0-9]*\).*/\1/p' \
        "$gw_dir/$1.log" | tail -1
}

all_at_newest() {
    local name
    for name in "${site_entries[@]}"; do
        [ "$(version_of "$name")" = "$newest" ] || return 1
    done
}

expect_in_force() { # WHAT
    gw_await "$wait_s" all_at_newest && return 0
    local name
    echo "broken: $1: configuration $newest is not in force"
    for name in "${site_entries[@]}"; do
        echo "$name: $(version_of "$name")"
        grep -E 'ROWS_OLDER|STORE_ERA|STORE_READS' "$gw_dir/$name.log" | tail -4
    done
    return 1
}

# The store is silent for half a second and returns without what was written in
# the last seconds.
restore() { # AGE_MS
    site_send_event store silent
    sleep 0.5
    site_send_event restore "$1"
    site_send_event store up
}

play() { # SKIPPED VERSIONS
    newest=3
    gw_begin "$out" hen-viec-small || return 1
    site_begin_with_events --seconds 100 --callers 40 || return 1
    sleep 3
    change_config 200
    site_send_event drain 1
    expect_in_force "before the restore" || return 1
    sleep 1

    restore 3500
    site_send_event rewrite
    change_config 1
    site_send_event skip "$1"
    expect_in_force "after a restore, $1 versions skipped" || return 1
    site_send_event drain 2
    sleep 3

    # The copy lacks all configurations but the first, and two drills follow
    # each other.
    change_config 5
    expect_in_force "between restores" || return 1
    restore 15000
    sleep 0.4
    restore 15000
    sleep 1.5
    site_send_event rewrite
    change_config 1
    expect_in_force "after two restores" || return 1
    sleep 3
    site_send_event calm
    sleep 2
    site_send_event end
    site_conclude
}

out=$1
failed=0
for skipped in 0 500; do
    gw_say "versions skipped after the restore: $skipped"
    (play "$skipped") || failed=1
done
exit "$failed"
