#!/bin/bash
# Runs three entries, six backend servers and forty callers while servers lose
# and duplicate answers, two servers drain, the configuration changes, the
# store is unavailable for two seconds and drops its history, one entry is
# stopped and another one is killed. The callers have keys of two organisations:
# beta is above its quota, and one of its keys is revoked. usage: demo_site.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
. standins/lib.sh
. standins/site.sh

site_use_organisations 20
site_begin "$1" "${site_organisations[@]}" --revoke 5 --seconds 14 --callers 40 --faults 15 --drain 3 \
    --new-config 4 --store-busy 6 --compact 9 || exit 1
sleep 5
gw_say "stopping e1 (SIGTERM)"
gw_end e1 TERM || gw_fail "e1 did not exit with 0"
site_start_entry e1
sleep 1
gw_say "killing e3 (SIGKILL)"
gw_end e3 KILL
site_start_entry e3
sleep 2
shown=0
site_shows_no_key || shown=1
site_ctl e1 organisations
site_conclude && [ "$shown" -eq 0 ]
