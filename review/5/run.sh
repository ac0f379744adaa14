#!/bin/bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0: there is no other writer.
. "$(dirname "$0")/../standin/run.sh"

choose_net
fd_limit=2870
export NET=$net UPSTREAM_IP=$net.100 STORE_IP=$net.200
for i in 1 2 3 4 5; do
    write_settings "front-sud-a-$i" "$net.$i" "z$((i % 2 + 1))" r1 112 \
        "$fd_limit" 10
    start_entry "front-sud-a-$i"
done
timeout 110 "$review_dir/build/case-5"
rc=$?
[ "$rc" -le 2 ] || rc=2
note "exit $rc"
exit "$rc"
