#!/bin/bash
# A connection that arrives while a stopping entry is stalled must be answered.
#
# An entry that received SIGTERM still listens and is stalled, as on a busy
# machine, until half of its grace period is over. Meanwhile a caller connects
# and sends a request. An entry that closes its listener and exits in its first
# loop iteration afterwards resets the connection with the request unread,
# although there is time to accept and refuse it.
# usage: site_stop_held_up.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_grace=4s
gw_begin "$1" hen-viec-small || exit 1
for name in "${site_entries[@]}"; do
    site_write_settings "$name"
    site_start_entry "$name"
done
site_start_simulator --seconds 20 --callers 1

# Stops and stalls an entry. usage: held_up NAME
held_up() {
    local answer pid=${gw_pid[$1]}
    kill -TERM "$pid"
    gw_await 10 grep -q name=STOP_BEGIN "$gw_dir/$1.log" || return 1
    kill -STOP "$pid"
    exec 9<>"/dev/tcp/127.0.0.1/$(site_port "$1" 0)" || return 1
    printf 'GET /look-up/1 HTTP/1.1\r\nHost: demo.example\r\n' >&9
    printf 'X-Attempt-Id: late-%s\r\nX-Time-Remaining: 2000\r\n\r\n' "$1" >&9
    sleep 2.2
    kill -CONT "$pid"
    answer=$(timeout 5 cat <&9 2>/dev/null)
    exec 9>&-
    [[ $answer == "HTTP/1.1 "* ]] ||
        gw_fail "$1: a request that came in the stop got no answer"
}

sleep 4
rc=0
for round in 1 2; do
    jobs=()
    for name in "${site_entries[@]}"; do
        (trap - EXIT && held_up "$name") &
        jobs+=($!)
    done
    for job in "${jobs[@]}"; do
        wait "$job" || rc=1
    done
    for name in "${site_entries[@]}"; do
        site_wait_end "$name" ||
            gw_fail "round $round: $name did not stop in order" || rc=1
        rm -f "$gw_dir/$name.log"
        site_start_entry "$name"
    done
    sleep 2
done
site_conclude || rc=1
exit "$rc"
