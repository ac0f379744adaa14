#!/bin/bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0: the clients read as fast as they can.
. "$(dirname "$0")/../standin/run.sh"

choose_net
fd_limit=8192
export ENTRY_IP=$net.1 UPSTREAM_IP=$net.100 STORE_IP=$net.200
write_settings front-seoul-a-1 "$ENTRY_IP" z1 r1 512 "$fd_limit" 200
start_entry front-seoul-a-1
timeout 110 "$review_dir/build/case-5"
rc=$?
[ "$rc" -le 2 ] || rc=2
note "exit $rc"
exit "$rc"
