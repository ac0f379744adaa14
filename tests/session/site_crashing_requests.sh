#!/bin/bash
# A request that crashes every server that runs it, sent again and again at
# any entry, must not take down one server after the other; no other request
# may be refused for it.
# usage: site_crashing_requests.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_begin "$1" --seconds 12 --callers 20 --crashers 4 || exit 1
rc=0
site_conclude || rc=1
grep -E '^(crasher|crashes:)' "$gw_dir/world.log"
held=$(grep -h 'why=quarantined' "$gw_dir"/e?.log)
echo "held: $(grep -c 'request=x' <<<"$held") of crashers," \
    "$(grep -c 'request=c' <<<"$held") of others"
grep -q 'request=x' <<<"$held" || gw_fail "no crasher was held" || rc=1
! grep -q 'request=c' <<<"$held" || gw_fail "others were held" || rc=1
exit $rc
