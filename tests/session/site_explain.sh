#!/bin/bash
# Operators ask entries while servers lose answers: what an entry says of
# itself and of its servers, what a collector reads, and what became of one
# request that failed, from the logs of all entries.
#
# A request whose answer was lost ends as unknown; its line, the failed attempt
# before it and the conclusion have to be found by its id alone.
# usage: site_explain.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

ask() { # ENTRY COMMAND...
    local name=$1
    shift
    "$gw_out"/godwitctl --admin "127.0.0.1:$(site_port "$name" 3)" "$@"
}

expect() { # TEXT PATTERN WHAT
    grep -qE "$2" <<<"$1" || {
        gw_fail "$3: no /$2/ in:"$'\n'"$1"
        exit 1
    }
}

site_begin "$1" --seconds 8 --callers 40 --faults 60 || exit 1
sleep 4
status=$(ask e1 status) || exit 1
expect "$status" '^ready, version [1-9]' status
expect "$status" 'members, 3 of them live' status
expect "$(ask e1 --json status)" '"state":"ready"' 'status as JSON'
top=$(ask e2 top --limit 3) || exit 1
expect "$top" '^server-[0-9] ' top
[ "$(wc -l <<<"$top")" -eq 4 ] || gw_fail "top --limit 3: $top" || exit 1
metrics=$(ask e3 metrics) || exit 1
expect "$metrics" 'gw_request_ms_count\{route="[^"]+",end="answered"\} [1-9]' \
    metrics
expect "$metrics" '^gw_config_version [1-9]' metrics
site_conclude >/dev/null

logs=("$gw_dir"/e1.log "$gw_dir"/e2.log "$gw_dir"/e3.log)
id=$(grep -h 'why=broken' "${logs[@]}" | head -n 1 |
    sed 's/.*request=\([^ ]*\).*/\1/')
[ -n "$id" ] || gw_fail "no request lost its answer" || exit 1
told=$("$gw_out"/godwitctl explain "$id" "${logs[@]}") || exit 1
expect "$told" 'ATTEMPT_FAILED .*outcome=broken' explain
expect "$told" 'REQUEST_REPLIED status=502 why=broken' explain
expect "$told" '^unknown: it was sent' explain
"$gw_out"/godwitctl explain no-such-id "${logs[@]}" >/dev/null
[ $? -eq 1 ] || gw_fail "an id that is nowhere must be told by exit code 1"
