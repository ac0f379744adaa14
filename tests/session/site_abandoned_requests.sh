#!/bin/bash
# Guards against: requests that their entry gave up, or that it held when it
# was killed, reach servers once a short cut of its links is over.
# usage: site_abandoned_requests.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_entries=(e1 e2)
gw_begin "$1" hen-viec-small || exit 1
site_config=$gw_dir/config.json
sed -E 's/"timeout":"[0-9]+ms"/"timeout":"150ms"/' \
    deploy/demo/config.json >"$site_config"
site_begin_with_events --seconds 60 --callers 40 --keep --work-ms 20 || exit 1
sleep 4
for _ in 1 2 3 4 5 6; do
    site_set_links e1 silent
    sleep 0.45
    site_set_links e1 up
    sleep 0.8
done
for _ in 1 2 3 4; do
    site_set_links e2 silent
    sleep 0.05
    site_signal_with_event e2 KILL
    sleep 0.4
    site_set_links e2 up
    site_wait_end e2
    sleep 0.5
    site_start_with_event e2
    sleep 3
done
site_send_event end
site_conclude
rc=$?
site_violations | sed 's/^/  /'
exit "$rc"
