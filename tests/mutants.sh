#!/bin/bash
# Mutation tests: builds each GW_MUTANT, which breaks one safeguard, and checks
# that its property fails. docs/MUTANTS.md describes the mutants.
# usage: mutants.sh [NUMBER...]
set -uo pipefail
cd "$(dirname "$0")/.."

# number, property program or unit.SUITE, environment (-: none), guarantee
table='
1 calls - at-most-once: an old ticket is not run again
2 calls - a refusal is proven: failing to reach the owner proves nothing
3 calls - at-most-once: nothing is sent again after UNKNOWN
4 calls - at-most-once: the record of an UNKNOWN outcome is kept
5 found - a draining server gets no new work
6 calls - no server exceeds its slots: a cancelled call keeps its slot
7 pairs GW_PAIR=replaced a planned stop aborts no request
8 calls - a refusal is proven: an earlier attempt may have run
9 calls - a refusal is proven: the ticket of a removed service stays known
10 found - a resumed entry applies drains of its pause before new work
11 calls - no call outlasts the hold-off of its seat
12 calls - a ticket is protected under every configuration version
13 calls - no call is shifted to this entry without a grant
14 found - an accepted change spreads while the table is unavailable
15 found - a drain is remembered while its service is removed
16 calls - a waiting resend gets the outcome of the first call
17 calls - one dispatch per ticket: a resend joins the running call
18 calls - the ticket table is bounded
19 pairs GW_PAIR=region-backends-down a refusal is proven: it is final for its ticket
20 steer_units - a lent unit is not used by its lender
21 steer_units - units above a lowered cap take no new work
22 steer_units - no call outlives the loan it runs on
23 steer_units - the lender counts a longer term than the borrower
24 steer_units - no return while calls run on the loan
25 steer_units - a late or duplicated GIVE is not used
26 steer_cases - the shift unit of a running call stays lent
27 steer_units - no return while calls run on the loan
28 steer_units - a grant carries at most as many calls as it has units
29 steer_units - a link unit carries one call
30 steer_cases - grants grow by at most warmup_step per second
31 steer_units - a shift unit is lent by one grant only
32 steer_units - units of a fenced or lost seat are not used
33 steer_units - a seat is handed over only when its units are idle
34 steer_units - an UNKNOWN end keeps its unit in use
40 members - membership updates propagate
41 members - an outdated update does not revive a dead member
42 members - a live member refutes its suspicion
43 members - a lost member is found again
44 sync - versions never decrease
45 sync - a corrupt document is never applied
50 seats - a paused holder is fenced
51 seats - a claim without reply is not used before it is read back
52 seats - a row of another holder is not used
53 seats - a reclaim waits for its hold-off
54 seats - a reclaim needs absence from the list and silence
55 seats - a seat that was handed over is not used
56 seats - a handover is accepted once
57 seats - a live holder objects to a notice
60 change - an id is applied at most once
61 change - a change is one transaction
62 change - no change is accepted without its row
63 change - no change is refused without a void row
64 change - a transaction without reply is read back
65 change - the head is checked
66 change - a conflict is not reported as accepted
67 change - versions are dense
70 router - at-most-once: a request that may have run is not resent
71 router - a refusal is proven: 503 only with proof
72 router - a draining server gets no new work
73 router - a cold server gets at most its cold rate
74 router - retries stay within their budget
75 router - a request uses at most as many servers as the route allows
76 router - versions never decrease
77 router - a stopping entry starts nothing that its end would abort
78 router - a server is given no time beyond the end of a stop
79 sums - a copy of the load sums is never wrong
80 outages - a request that ran beside the cause of crashes is not quarantined
81 outages - a successful run clears a request
82 outages - a request that crashes servers is sent to few servers
83 outages - simultaneous crashes quarantine no request
84 outages - a limit is shared by all entries
85 outages - a limit ends when its server reports the end
90 unit.access - a key counts only while it is proven to be valid
91 unit.access - a waiting request is refused when its key is revoked
92 proof - a message is as old as its echo shows
93 unit.edge_keys - a key is checked when the first byte is sent
94 quota - a token is granted once
95 quota GW_SIZE=12 unused tokens are lost above the burst
96 quota GW_SIZE=12 a ceded part ends
97 quota GW_SIZE=12 a lent token is used once
100 unit.follower - an unanswered call to the store does not delay the next
101 unit.follower - a proof of freshness holds for copies as new as its own
103 unit.server_leaving - no row takes back that a server leaves
104 unit.server_rest - a server that rests gets no requests
110 outages - an entry notices that it is cut off from servers
111 unit.router_pass_on - a request takes one hop
112 unit.edge_relay - only entries pass requests on
113 outages - lost links of an entry are no crashes of servers
114 unit.edge_relay - the outcome at another entry is known only if it says so
115 unit.router_pass_on - homes bind the entries that get the body
116 unit.admission - a request that was passed on uses one token
117 unit.router_pass_on - attempts are counted over both entries
118 unit.access - nothing runs before the quarantine is known
119 unit.router_crashes - lost links to one service are no crashes of its servers
120 unit.quarantine - a process crashes once
130 unit.shortage - a total that is too old refuses nothing
131 shortage GW_SIZE=12 nothing is refused after a burst, beside idle servers
132 shortage GW_SIZE=12 a level that fits in part is admitted in part
102 follow - an entry without a recent proof reads the store
121 restored - versions of different eras of the store are not compared
122 restored - what has an order of its own does not go back
123 restored - a restored store brings back no row that was removed
124 unit.store_rows - what a restored store lacks stays for a while
125 unit.follower - answers of earlier eras are dropped
126 unit.follower - an era that the store denies is given up
140 unit.http_budget - the largest incomplete response is aborted first
141 unit.http_budget - small responses find room beside large ones
142 unit.edge_bounds - bytes queued for a slow caller are counted
143 unit.edge_bounds - bytes behind an answer close the connection
144 unit.edge_bounds - an answer over its bound may have run
145 unit.edge_bounds - an answer that trickles is aborted
146 unit.edge_bounds - a caller that reads nothing does not keep the memory
147 unit.http_budget - a complete response is never aborted
148 unit.http_conn_close - the kernel delivers no abandoned request
149 unit.http_conn_close - an idle connection is closed in order
150 unit.dispatch - the kernel delivers no abandoned attempt
152 unit.http_budget - an upload leaves room to the responses of others
153 unit.edge_closes - a connection is not idle while its caller reads
154 unit.edge_full - a client that reads its page is not idle
155 unit.edge_closes - a slow reader does not keep an ending process
156 unit.answer_room - no request is sent without room for its answer
157 unit.answer_room - no caller holds the room of all
158 unit.edge_uploads - a server may pause while it reads an upload
160 unit.edge_closes - the kernel gets the last answers of a process
159 unit.edge_stop - requests open at the end of a stop are answered
161 unit.admission - nothing begins to wait after the end of a stop
162 unit.edge_open - a stop does not hold requests without room
163 unit.edge_malformed - interim responses are bounded
164 unit.edge_malformed - empty lines before an answer are bounded
165 unit.edge_malformed - an invalid status is no answer
167 unit.edge_freed - no action outlives its request
168 unit.edge_malformed - a message without an id is no answer
151 unit.net - the kernel delivers no call that was lost
133 unit.router_shed - a route of low value gets its part of the slots
134 unit.router_shed - no less urgent kind is admitted more often
135 unit.router_shed - a refused caller is counted once in the demand
136 unit.router_shed - a request that was sent is not shed
137 unit.router_shed - nothing is shed while another region has capacity
'

# Rebuilds the objects that the mutant changes, in a copy of the normal build,
# and runs its property once, without shrinking: only the verdict counts.
run_mutant() { # number program env guarantee...
    local number=$1 program=$2 env=$3
    shift 3
    local out=build-mutant/$number
    rm -rf "$out"
    mkdir -p "$out"
    cp -r "$base/obj" "$out/obj"
    grep -rlE "GW_MUTANT [!=]= $number( |\$)" lib | while read -r source; do
        rm -f "$out/obj/${source%.c}.o"
    done
    local bin=$out/prop_$program run=("$out/prop_$program")
    if [[ $program == unit.* ]]; then
        bin=$out/unit
        run=("$out/unit" --filter "${program#unit.}/*")
    fi
    if ! make -s MUTANT="$number" O="$out" "$bin" >"$out/make.log" 2>&1; then
        echo "MISSED $number: build failed, see $out/make.log"
    else
        [ "$env" = - ] && env=GW_PAIR=
        env RC_PARAMS="seed=20261202 max_success=${GW_TESTS:-100} noshrink=1" \
            "$env" timeout 300 "${run[@]}" >"$out/run.log" 2>&1
        case $? in
        0) echo "MISSED $number ($program): $*" ;;
        124) echo "MISSED $number ($program): timed out: $*" ;;
        *) echo "caught $number ($program): $*" ;;
        esac
    fi
    rm -rf "$out/obj"
}
export -f run_mutant

base=build
mkdir -p build-mutant
export base
make -s -j4 O="$base" "$base/libgodwitridge.a" "$base/libfakes.a" || exit 1
# shellcheck disable=SC2016
while read -r number rest; do
    [ -z "$number" ] && continue
    if [ $# -gt 0 ] && [[ " $* " != *" $number "* ]]; then
        continue
    fi
    echo "$number $rest"
done <<<"$table" |
    xargs -P 4 -L 1 bash -c 'run_mutant "$@"' mutant | tee build-mutant/all.log
caught=$(grep -c ^caught build-mutant/all.log)
missed=$(grep -c ^MISSED build-mutant/all.log)
echo "mutants: $caught caught, $missed missed"
[ "$missed" -eq 0 ]
