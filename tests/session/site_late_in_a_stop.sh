#!/bin/bash
# Requests that complete on open connections late in a graceful stop.
#
# Two callers have sent half a request when their entry gets SIGTERM, and send
# the rest when half of the grace period is over. A request that would take
# longer than the process still has must be refused, with Retry-After: if sent
# to a server, it would run while the caller's connection closes without an
# answer. A request that can finish in time must be answered. Both connections
# must be closed afterwards.
# usage: site_late_in_a_stop.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_grace=10s
gw_begin "$1" hen-viec-small || exit 1
site_late_config
for name in "${site_entries[@]}"; do
    site_write_settings "$name"
    site_start_entry "$name"
done
site_start_simulator --seconds 16 --callers 4
wait_for() { # TEXT FILE
    for _ in $(seq 200); do
        grep -q "$1" "$2" 2>/dev/null && return 0
        sleep 0.1
    done
    gw_fail "no $1 in $2"
}
expect() { # WHAT ANSWER PATTERN
    # shellcheck disable=SC2254
    case $2 in
    $3) return 0 ;;
    esac
    gw_fail "$1: ${2:-no answer}"
}
wait_for name=CONFIG_IN_FORCE "$gw_dir/e1.log" || exit 1
exec 8<>"/dev/tcp/127.0.0.1/$(site_port e1 0)" || exit 1
exec 9<>"/dev/tcp/127.0.0.1/$(site_port e1 0)" || exit 1
printf 'GET /look-up/1 HTTP/1.1\r\nHost: demo.example\r\n' >&8
printf 'GET /long/1 HTTP/1.1\r\nHost: demo.example\r\n' >&9
sleep 0.3
kill -TERM "${gw_pid[e1]}"
wait_for name=STOP_LISTENING "$gw_dir/e1.log" || exit 1
printf 'X-Attempt-Id: late1\r\nX-Time-Remaining: 2000\r\n\r\n' >&8
printf 'X-Attempt-Id: late2\r\nX-Time-Remaining: 20000\r\n\r\n' >&9
short=$(timeout 5 cat <&8)
late=$(timeout 5 cat <&9)
expect "not answered" "$short" "HTTP/1.1 200 *" || exit 1
expect "not closed" "$short" "*Connection: close*" || exit 1
expect "not refused" "$late" "HTTP/1.1 503 *Retry-After: *" || exit 1
expect "not closed" "$late" "*Connection: close*" || exit 1
wait "${gw_pid[e1]}" || gw_fail "e1 did not stop in order" || exit 1
unset 'gw_pid[e1]'
site_conclude
