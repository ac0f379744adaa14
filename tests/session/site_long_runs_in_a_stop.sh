#!/bin/bash
# Requests that arrive during a graceful stop while some runs take far longer
# than the others: each is answered or refused, and none is sent to a server
# and then broken off at the end of the stop.
# usage: site_long_runs_in_a_stop.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_grace=6s
gw_begin "$1" hen-viec-small || exit 1
# Longer than a stop, so that only the stop bounds a run.
site_config=$gw_dir/config.json
sed -E 's/"timeout":"[0-9]+ms"/"timeout":"20000ms"/g' \
    deploy/demo/config.json >"$site_config"
site_begin_with_events --seconds 90 --callers 40 --left-ms 18000 --keep \
    --grace-ms 6000 --work-ms 300 --work-spread-ms 100 --objects 5000 || exit 1
site_send_event long-runs 100 10
sleep 5
rc=0
for name in "${site_entries[@]}"; do
    site_signal_with_event "$name" TERM
    site_wait_end "$name" ||
        gw_fail "$name did not stop in order" || rc=1
    site_start_with_event "$name"
    sleep 2
done
site_send_event end
site_conclude || rc=1
grep '^stops: ' "$gw_dir/simulator.log"
exit "$rc"
