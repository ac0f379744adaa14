#!/bin/bash
# A request that crashes every server that runs it, and that callers repeat at
# any entry, must not crash one server after the other. No other request may be
# refused because of it.
# usage: site_crashing_requests.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

is_held() { # ENTRY FINGERPRINT
    site_ctl "$1" suspects 2>/dev/null | grep -E "^$2 +held " >/dev/null
}

is_free() { # ENTRY FINGERPRINT
    ! is_held "$@"
}

site_begin "$1" --seconds 12 --callers 20 --crashers 4 || exit 1
rc=0
site_conclude || rc=1
grep -E '^(crasher|crashes:)' "$gw_dir/simulator.log"
lines=$(grep -h 'why=quarantined' "$gw_dir"/e?.log)
echo "quarantined: $(grep -c 'request=x' <<<"$lines") of crashers," \
    "$(grep -c 'request=c' <<<"$lines") of others"
grep -q 'request=x' <<<"$lines" || gw_fail "no crasher was quarantined" || rc=1
! grep -q 'request=c' <<<"$lines" || gw_fail "others were quarantined" || rc=1

# Operators see quarantined requests at any entry; a release is in force at
# all.
held=$(site_ctl e2 suspects | awk '$2 == "held" { print $1; exit }')
site_ctl e3 metrics | grep -E '^gw_suspects\{state="held"\} [1-9]' ||
    gw_fail "no metric" || rc=1
is_held e3 "$held" || gw_fail "e3 does not quarantine \"$held\"" || rc=1
! site_ctl e2 release 0123 2>/dev/null || gw_fail "released an unknown one" ||
    rc=1
site_ctl e2 release "$held" || gw_fail "not released" || rc=1
gw_await 10 is_free e3 "$held" || gw_fail "still quarantined at e3" || rc=1
exit $rc
