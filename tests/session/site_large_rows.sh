#!/bin/bash
# A configuration that would occupy the link of a small instance for seconds
# must be read from the store.
#
# Operators write a new version. Entries that do not poll the store learn of it
# from a peer; if all of them read it from that peer, the last ones would get
# it long after the others. All five entries must have the version in the end,
# and no request may be cut off or get another answer.
# usage: site_large_rows.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_entries=(e1 e2 e3 e4 e5)
site_link_mbps=0.01 # any row is large for such a link
site_begin "$1" --seconds 16 --callers 20 --new-config 10 || exit 1
site_conclude
rc=$?
[ "$rc" -eq 0 ] || exit 1
newest=0
for name in "${site_entries[@]}"; do
    version=$(sed -n 's/.*name=CONFIG_IN_FORCE version=\([0-9]*\).*/\1/p' \
        "$gw_dir/$name.log" | tail -1)
    [ "${version:-0}" -gt "$newest" ] && newest=$version
    eval "in_force_$name=${version:-0}"
done
for name in "${site_entries[@]}"; do
    at=in_force_$name
    [ "${!at}" = "$newest" ] ||
        gw_fail "$name has version ${!at}, others $newest" || exit 1
done
[ "$newest" -gt 1 ] || gw_fail "no new version is in force" || exit 1
grep -q 'name=ROWS_TAKEN .*from=store' "$gw_dir"/e?.log ||
    gw_fail "no entry read the rows from the store" || exit 1
