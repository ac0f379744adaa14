#!/bin/bash
# A request that crashes every server that runs it, sent again and again at
# any entry, must not take down one server after the other.
# usage: site_crashing_requests.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_begin "$1" --seconds 12 --callers 20 --crashers 4 || exit 1
site_conclude
rc=$?
grep -E '^(crasher|crashes:)' "$gw_dir/world.log"
exit $rc
