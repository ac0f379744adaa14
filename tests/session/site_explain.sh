#!/bin/bash
# Operators query entries while servers lose answers: status, statistics of
# servers, metrics, and the history of a failed request from the logs of all
# entries.
#
# A request whose answer was lost ends as unknown; `explain` must find its log
# line, the failed attempt before it and the conclusion by the request id
# alone.
# usage: site_explain.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

# Succeeds when the output of the command matches the pattern.
shows() { # PATTERN COMMAND...
    local pattern=$1
    shift
    "$@" 2>/dev/null | grep -E "$pattern" >/dev/null
}

# Requires a match within 20 s.
expect() { # PATTERN COMMAND...
    gw_await 20 shows "$@" || {
        gw_fail "no /$1/ in: ${*:2}"
        exit 1
    }
}

site_begin "$1" --seconds 10 --callers 40 --faults 60 || exit 1
expect 'members, 3 of them live' site_ctl e1 status
expect '^ready, version [1-9]' site_ctl e1 status
expect '"state":"ready"' site_ctl e1 --json status
expect '^server-[0-9] ' site_ctl e2 top --limit 3
[ "$(site_ctl e2 top --limit 3 | wc -l)" -eq 4 ] ||
    gw_fail "top --limit 3 does not print a header and 3 lines" || exit 1
expect 'gw_request_ms_count\{route="[^"]+",end="answered"\} [1-9]' \
    site_ctl e3 metrics
expect '^gw_config_version [1-9]' site_ctl e3 metrics
# A preview goes through the running entry and sends nothing.
expect '^decision: send, server server-[0-9]' \
    site_ctl e1 where demo.example /look-up/x --object 7
expect '"candidates":\[\{"server":"server-[0-9]' \
    site_ctl e1 --json where demo.example /look-up/x --deadline-ms 900
refused() { # exits with 1
    ! site_ctl e1 where "$@"
}
expect '^decision: refuse, no-route' refused demo.example /none/
site_ctl e1 where demo.example look-up >/dev/null 2>&1
[ $? -eq 1 ] || gw_fail "where with a path without / must exit with 1" ||
    exit 1
site_conclude >/dev/null

logs=("$gw_dir"/e1.log "$gw_dir"/e2.log "$gw_dir"/e3.log)
id=$(grep -h 'why=broken' "${logs[@]}" | head -n 1 |
    sed 's/.*request=\([^ ]*\).*/\1/')
[ -n "$id" ] || gw_fail "no request lost its answer" || exit 1
explain() {
    "$gw_out"/godwitctl explain "$id" "${logs[@]}"
}
expect 'ATTEMPT_FAILED .*outcome=broken' explain
expect 'REQUEST_REPLIED status=502 why=broken' explain
expect '^unknown: it was sent' explain
"$gw_out"/godwitctl explain no-such-id "${logs[@]}" >/dev/null
[ $? -eq 1 ] || gw_fail "explain of an unknown id must exit with 1"
