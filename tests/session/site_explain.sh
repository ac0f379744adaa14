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

# Whether what the command prints has the pattern.
shows() { # PATTERN COMMAND...
    local pattern=$1
    shift
    "$@" 2>/dev/null | grep -E "$pattern" >/dev/null
}

# The same within 20 s, for what takes a moment to come about.
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
    gw_fail "top --limit 3 has other than a head and 3 lines" || exit 1
expect 'gw_request_ms_count\{route="[^"]+",end="answered"\} [1-9]' \
    site_ctl e3 metrics
expect '^gw_config_version [1-9]' site_ctl e3 metrics
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
[ $? -eq 1 ] || gw_fail "an id that is nowhere must be told by exit code 1"
