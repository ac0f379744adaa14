#!/bin/bash
# A request that comes on a kept connection when its entry has nearly stopped.
#
# A caller has begun a request when its entry gets SIGTERM, and sends the rest
# when the entry takes nothing new any more. Passed on to a server, it might
# run there for longer than the process lives, and the caller's connection
# would end with no answer. It gets a refusal that is true, with when to come
# back, and the connection is closed.
# usage: site_late_in_a_stop.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_grace=10s
gw_begin "$1" hen-viec-small || exit 1
site_config=$gw_dir/config.json
sed 's/"header_timeout":"3000ms"/"header_timeout":"30s"/' \
    deploy/demo/config.json >"$site_config"
for name in "${site_entries[@]}"; do
    site_write_settings "$name"
    site_start_entry "$name"
done
site_start_world --seconds 16 --callers 4
wait_for() { # TEXT FILE
    for _ in $(seq 200); do
        grep -q "$1" "$2" 2>/dev/null && return 0
        sleep 0.1
    done
    gw_fail "$2 never said $1"
}
wait_for name=CONFIG_IN_FORCE "$gw_dir/e1.log" || exit 1
exec 9<>"/dev/tcp/127.0.0.1/$(site_port e1 0)" || exit 1
printf 'GET /look-up/1 HTTP/1.1\r\nHost: demo.example\r\n' >&9
sleep 0.3
kill -TERM "${gw_pid[e1]}"
wait_for name=STOP_LISTENING "$gw_dir/e1.log" || exit 1
printf 'X-Attempt-Id: late1\r\nX-Time-Remaining: 2000\r\n\r\n' >&9
answer=$(timeout 5 cat <&9)
case $answer in
"HTTP/1.1 503 "*"Retry-After: "*) ;;
*) gw_fail "not refused: ${answer:-no answer}" || exit 1 ;;
esac
case $answer in
*"Connection: close"*) ;;
*) gw_fail "the connection is not closed: $answer" || exit 1 ;;
esac
wait "${gw_pid[e1]}" || gw_fail "e1 did not stop in order" || exit 1
unset 'gw_pid[e1]'
site_conclude
