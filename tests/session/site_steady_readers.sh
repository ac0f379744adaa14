#!/bin/bash
# Callers read large answers without a pause, for longer than the idle time-out.
#
# Guards against an entry that closes their connections as idle, or answers
# requests that have run with 502 because it has no room for their answers.
# usage: site_steady_readers.sh BUILD
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
# An answer takes 1.7 s to read.
site_start_simulator --seconds 20 --callers 8 --large-callers 30 \
    --reading slow --depth 3 --left-ms 10000
site_conclude || exit 1

answered=0
for name in "${site_entries[@]}"; do
    log=$gw_dir/$name.log
    ! grep -E 'name=CALLER_CLOSED .*unacked=[1-9]' "$log" |
        grep -vE 'reason=(last-answer|exit)' ||
        gw_fail "$name closed a connection whose answer was still read" ||
        exit 1
    ! grep -E 'name=REQUEST_REPLIED .*status=502' "$log" ||
        gw_fail "$name answered 502" || exit 1
    answered=$((answered + $(grep -c 'name=REQUEST_ANSWERED' "$log")))
done
[ "$answered" -gt 0 ] || gw_fail "no request was answered" || exit 1
echo "$answered requests answered"
