#!/bin/bash
# A request that arrives just before the idle timeout must be answered.
#
# A caller sends a request on a connection that is close to the idle timeout
# while the entry is stalled, as on a busy machine. An entry that then checks
# the timeout before it reads closes the connection with the request unread,
# and the caller cannot know whether the request ran.
# usage: site_idle_close.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

gw_begin "$1" hen-viec-small || exit 1
site_config=$gw_dir/config.json
sed 's/"idle_timeout":"15000ms"/"idle_timeout":"1000ms"/' \
    deploy/demo/config.json >"$site_config"
for name in "${site_entries[@]}"; do
    site_write_settings "$name"
    site_start_entry "$name"
done
site_start_simulator --seconds 20 --callers 4

ask() { # ID
    printf 'GET /look-up/1 HTTP/1.1\r\nHost: demo.example\r\n' >&9
    printf 'X-Attempt-Id: %s\r\nX-Time-Remaining: 2000\r\n\r\n' "$1" >&9
}

# Reads one complete answer.
take_answer() {
    local line length=0
    read -r -t 2 line <&9 || return 1
    [[ $line == "HTTP/1.1 "* ]] || return 1
    while read -r -t 2 line <&9 && [ "$line" != $'\r' ]; do
        [[ ${line,,} =~ ^content-length:\ *([0-9]+) ]] &&
            length=${BASH_REMATCH[1]}
    done
    read -r -t 2 -N "$length" line <&9 || [ "$length" -eq 0 ]
}

# Repeats the case, since the order in which the entry handles the timeout and
# the request varies.
rounds() { # NAME
    local n
    for n in 1 2 3 4 5 6 7 8; do
        exec 9<>"/dev/tcp/127.0.0.1/$(site_port "$1" 0)" || return 1
        ask "first$n"
        take_answer || gw_fail "the first request got no answer" || return 1
        sleep 0.5
        kill -STOP "${gw_pid[$1]}"
        ask "second$n"
        sleep 0.7
        kill -CONT "${gw_pid[$1]}"
        take_answer ||
            gw_fail "$1, round $n: the second request got no answer" ||
            return 1
        exec 9>&-
    done
}

gw_await 20 grep -q name=CONFIG_IN_FORCE "$gw_dir/e1.log" ||
    gw_fail "e1 has no configuration" || exit 1
sleep 2
rc=0
jobs=()
for name in "${site_entries[@]}"; do
    (trap - EXIT && rounds "$name") &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job" || rc=1
done
site_conclude || rc=1
exit "$rc"
