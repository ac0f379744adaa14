#!/bin/bash
# A request that crashes every server that runs it, sent again and again at
# any entry, must not take down one server after the other; no other request
# may be refused for it.
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
grep -E '^(crasher|crashes:)' "$gw_dir/world.log"
lines=$(grep -h 'why=quarantined' "$gw_dir"/e?.log)
echo "held: $(grep -c 'request=x' <<<"$lines") of crashers," \
    "$(grep -c 'request=c' <<<"$lines") of others"
grep -q 'request=x' <<<"$lines" || gw_fail "no crasher was held" || rc=1
! grep -q 'request=c' <<<"$lines" || gw_fail "others were held" || rc=1

# Operators see what is held at any entry, and let it go at all of them.
held=$(site_ctl e2 suspects | awk '$2 == "held" { print $1; exit }')
site_ctl e3 metrics | grep -E '^gw_suspects\{state="held"\} [1-9]' ||
    gw_fail "no metric" || rc=1
is_held e3 "$held" || gw_fail "e3 does not hold \"$held\"" || rc=1
! site_ctl e2 release 0123 2>/dev/null || gw_fail "released what is none" || rc=1
site_ctl e2 release "$held" || gw_fail "not released" || rc=1
gw_await 10 is_free e3 "$held" || gw_fail "still held at e3" || rc=1
exit $rc
