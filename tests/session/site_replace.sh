#!/bin/bash
# A rolling restart under load, without other faults, must lose no request.
#
# A stopping entry leaves the directory at once, closes its connections after
# answers and finishes the requests in flight. No request may be cut off or end
# as unknown.
# usage: site_replace.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_begin "$1" --seconds 22 --callers 30 || exit 1
for name in "${site_entries[@]}"; do
    sleep 1
    gw_end "$name" TERM || gw_fail "$name did not stop in order" || exit 1
    site_start_entry "$name"
done
site_conclude >"$gw_dir/line"
rc=$?
line=$(cat "$gw_dir/line")
echo "$line"
[ "$rc" -eq 0 ] || exit 1
case $line in
*" 0 unknown, 0 cut;"*) ;;
*)
    gw_fail "a graceful stop cut off requests"
    exit 1
    ;;
esac
