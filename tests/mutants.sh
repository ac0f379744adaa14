#!/bin/bash
# Breaks each safeguard in turn and shows that its property fails.
# usage: mutants.sh [NUMBER...]      docs/MUTANTS.md is the table for readers
set -uo pipefail
cd "$(dirname "$0")/.."

# number, property program, arguments, the promise it guards
table='
1 pairs GW_PAIR=none+none at-most-once: an old ticket is not run again
2 pairs GW_PAIR=dies a refusal is true: not reaching the owner is no proof
3 pairs GW_PAIR=resets at-most-once: nothing is sent again after UNKNOWN
4 pairs GW_PAIR=resets at-most-once: an UNKNOWN record is kept
5 pairs GW_PAIR=reports-stop+backend-drains a leaving server gets no new work
6 pairs GW_PAIR=silent no place above its slots: a cancelled call holds its slot
7 pairs GW_PAIR=replaced a planned stop cuts off no request
20 steer_units - a lent unit is not used by its lender
21 steer_units - units above a lowered cap take no new work
22 steer_units - no call outlives the loan it runs on
23 steer_units - the lender counts longer than the borrower
24 steer_units - no return while calls run on the loan
25 steer_units - a late or copied GIVE is not used
26 steer_units - a shift unit of a running call stays out
27 steer_units - no return while calls run on the loan
28 steer_units - a grant carries no more calls than units
29 steer_units - a link unit carries one call
30 steer_units - grants grow by warmup_step a second at most
31 steer_units - a shift unit is out on one grant only
32 steer_units - units of a fenced or lost seat are not used
33 steer_units - a seat goes only when its units are idle
34 steer_units - an UNKNOWN end keeps its unit in use
40 members - updates travel
41 members - old news revives nobody
42 members - a live member refutes its suspicion
43 members - a lost member is found again
44 sync - versions never fall
45 sync - a corrupt document is never in force
50 seats - a paused holder is fenced
51 seats - a lost claim is not used before it was read back
52 seats - a row of another holder is not used
53 seats - a reclaim waits for its hold-off
54 seats - a reclaim needs the list and silence
55 seats - a seat given away is not used
56 seats - a handover is taken once
57 seats - a live holder objects to a notice
60 change - the same id never applies twice
61 change - a change is one transaction
62 change - no accept without its row
63 change - no refusal without a void row
64 change - a lost answer is read back
65 change - the head is checked
66 change - a conflict is not an accept
67 change - versions are dense
'

caught=0
missed=0
while read -r number program env promise; do
    [ -z "$number" ] && continue
    if [ $# -gt 0 ] && [[ " $* " != *" $number "* ]]; then
        continue
    fi
    out=build-mutant/$number
    if ! make -s -j"$(nproc)" MUTANT="$number" O="$out" "$out/prop_$program" \
        >/dev/null 2>&1; then
        echo "mutant $number: does not build"
        missed=$((missed + 1))
        continue
    fi
    [ "$env" = - ] && env=GW_PAIR=
    if env "$env" timeout 300 "$out/prop_$program" >"$out/run.log" 2>&1; then
        echo "MISSED $number ($program): $promise"
        missed=$((missed + 1))
    else
        echo "caught $number ($program): $promise"
        caught=$((caught + 1))
    fi
    rm -rf "$out/obj"
done <<<"$table"
echo "mutants: $caught caught, $missed missed"
[ "$missed" -eq 0 ]
