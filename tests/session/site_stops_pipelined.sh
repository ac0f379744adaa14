#!/bin/bash
# Pipelined requests that arrive during a graceful stop must all be answered.
#
# A caller sends three requests at once on an open connection, none of which
# can finish before the entry exits. An entry that answers the first with
# "Connection: close" before it parses the rest of the same read leaves the
# others unanswered. Each request must be refused, and only the last answer may
# close the connection.
# usage: site_stops_pipelined.sh BUILD
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

# Prints the headers of a request without the final empty line.
request() { # ID
    printf 'GET /long/1 HTTP/1.1\r\nHost: demo.example\r\n'
    printf 'X-Attempt-Id: %s\r\nX-Time-Remaining: 20000\r\n' "$1"
}

gw_await 20 grep -q name=CONFIG_IN_FORCE "$gw_dir/e1.log" ||
    gw_fail "e1 has no configuration" || exit 1
# Starts a request before the stop, so that the connection is not closed as
# idle.
exec 9<>"/dev/tcp/127.0.0.1/$(site_port e1 0)" || exit 1
request first >&9
sleep 0.3
kill -TERM "${gw_pid[e1]}"
gw_await 20 grep -q name=STOP_LISTENING "$gw_dir/e1.log" ||
    gw_fail "e1 does not stop" || exit 1
rest=$(printf '\r\n' && request second && printf '\r\n' && request third &&
    printf '\r\n.')
printf '%s' "${rest%.}" >&9
answers=$(timeout 5 cat <&9)
refused=$(grep -c '^HTTP/1.1 503 ' <<<"$answers")
[ "$refused" -eq 3 ] ||
    gw_fail "$refused of 3 requests were refused: $answers" || exit 1
[ "$(grep -c '^Retry-After: ' <<<"$answers")" -eq 3 ] ||
    gw_fail "not all have Retry-After: $answers" || exit 1
[ "$(grep -c '^Connection: close' <<<"$answers")" -eq 1 ] ||
    gw_fail "not exactly one answer closes the connection: $answers" || exit 1
wait "${gw_pid[e1]}" || gw_fail "e1 did not stop in order" || exit 1
unset 'gw_pid[e1]'
site_conclude
