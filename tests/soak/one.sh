#!/bin/bash
# Runs one seed of the fault soak: real entries with the simulated site, and a
# schedule of sequential and overlapping faults derived from the seed. Callers
# keep their entry until it exits. The journal is checked at the end: no
# at-most-once request ran twice, no refused request ran, answers were complete
# and belonged to their request, graceful stops cut off nothing received after
# SIGTERM, and requests are answered again after the faults.
#
# When a guarantee is violated, prints the seed, the faults with their times
# and the folder of the logs.
# usage: one.sh BUILD SEED
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

out=$1
seed=$2
state=$seed # of the random generator that all choices below use
kept=$out/soak-$seed
first_fault_ms=2500
last_fault_ms=20000
site_entries=(e1 e2 e3 e4)
# By entry: state of its process.
declare -A start_at_ms restart_ms signalled
broken=0

# Sets `drawn` to a random number below N. RANDOM is unsuitable: each subshell
# reseeds it.
random_below() { # N
    state=$(((state * 25214903917 + 11) & 0xffffffffffff))
    drawn=$(((state >> 20) % $1))
}

# Sets a variable to a random word. usage: choose NAME WORD...
choose() {
    local -n chosen=$1
    shift
    random_below $#
    local at=$((drawn + 1))
    chosen=${!at}
}

report_violation() { # GUARANTEE WORD...
    broken=1
    gw_say "broken: $*"
}

# ---- Schedule ---------------------------------------------------------------

# Prints "at_ms action argument..." lines: the action that starts a fault, and
# the one that ends it.
schedule_one() { # AT_MS
    local at=$1 over kind entry server domain delay word
    random_below 3500 && over=$((at + 500 + drawn))
    random_below 4 && entry=e$((1 + drawn))
    random_below 6 && server=$drawn
    random_below 2 && domain=d$((1 + drawn))
    random_below 2500 && delay=$drawn
    choose kind stop stop stop stop stop kill kill pause pause settings \
        config config drain evacuate store compact faults
    case $kind in
    stop | kill) echo "$at $kind $entry $delay" ;;
    pause)
        echo "$at pause $entry"
        echo "$((at + 200 + delay)) resume $entry"
        ;;
    settings) echo "$at settings $entry 0.$((1 + server))" ;;
    config)
        choose word 200 400 1000 15000
        echo "$at event config $word"
        ;;
    drain)
        echo "$at event drain $server"
        echo "$((over + 3000)) event ready $server"
        ;;
    evacuate)
        echo "$at event evacuate $domain"
        echo "$over event return $domain"
        ;;
    store)
        choose word busy silent
        echo "$at event store $word"
        echo "$over event store up"
        ;;
    compact) echo "$at event compact" ;;
    faults)
        choose word 10 50 100
        echo "$at event faults $word"
        echo "$over event faults 10"
        ;;
    esac
}

make_schedule() {
    local left
    random_below 10
    for ((left = 10 + drawn; left > 0; left--)); do
        random_below $((last_fault_ms - first_fault_ms))
        schedule_one $((first_fault_ms + drawn))
    done | sort -n
}

# Adds cuts of the links between entries and all servers, some at once. Drawn
# after everything else, so that the other faults of a seed stay as they were.
schedule_links() {
    local left at entries links name
    random_below 3
    for ((left = 1 + drawn; left > 0; left--)); do
        random_below $((last_fault_ms - first_fault_ms - 6000))
        at=$((first_fault_ms + drawn))
        choose links silent reset no-setup
        choose entries e1 e2 "e3 e4" "e1 e3" "e2 e4" "e1 e2 e3"
        for name in $entries; do
            echo "$at links $name $links"
            random_below 4000
            echo "$((at + 4000 + drawn)) links $name up"
        done
    done
}

# Restores the store from a copy, at times twice in a row. Drawn last, as the
# links.
schedule_restores() {
    local left at back again word
    random_below 3
    for ((left = drawn; left > 0; left--)); do
        random_below $((last_fault_ms - first_fault_ms))
        at=$((first_fault_ms + drawn))
        random_below 1500 && back=$((at + 200 + drawn))
        choose word busy silent
        echo "$at event store $word"
        random_below 9000
        echo "$back event restore $((300 + drawn))"
        echo "$back event store up"
        random_below 2
        if [ "$drawn" -eq 1 ]; then
            random_below 900 && again=$((back + 100 + drawn))
            random_below 9000
            echo "$again event restore $((300 + drawn))"
            back=$again
        fi
        random_below 1500
        echo "$((back + 50 + drawn)) event rewrite"
        random_below 400
        echo "$((back + 60 + drawn)) event skip $drawn"
    done
}

# Servers that send without end, and callers of large answers that read slowly
# or not at all, together or alone; in half of the seeds each. Drawn last, as
# the links.
schedule_endless() {
    local at kind speed permille servers word
    random_below 2
    if [ "$drawn" -eq 1 ]; then
        random_below $((last_fault_ms - first_fault_ms - 4000))
        at=$((first_fault_ms + drawn))
        choose kind chunked close head behind second any
        choose speed fast slow
        choose permille 50 300 600
        choose servers 1 2 3
        echo "$at event endless $kind,$speed,$permille,$servers"
        random_below 3000
        echo "$((at + 1000 + drawn)) event endless none"
    fi
    random_below 2
    if [ "$drawn" -eq 1 ]; then
        random_below $((last_fault_ms - first_fault_ms - 4000))
        at=$((first_fault_ms + drawn))
        choose word slow none mixed
        echo "$at event reading $word"
        random_below 3000
        echo "$((at + 1000 + drawn)) event reading usual"
    fi
}

# Cuts the links of an entry for less time than its kernel goes on sending, and
# kills the entry meanwhile in most of the cuts. Drawn last, as the links.
schedule_short_cuts() {
    local left at entry
    random_below 5
    for ((left = 1 + drawn; left > 0; left--)); do
        random_below $((last_fault_ms - first_fault_ms))
        at=$((first_fault_ms + drawn))
        random_below 4 && entry=e$((1 + drawn))
        echo "$at links $entry silent"
        random_below 4
        if [ "$drawn" -gt 0 ]; then
            random_below 1500
            echo "$((at + 150)) kill $entry $drawn"
        fi
        random_below 350
        echo "$((at + 400 + drawn)) links $entry up"
    done
}

# Rows of another program in the table of servers, in half of the seeds. Drawn
# last, as the links.
schedule_foreign_rows() {
    local at
    random_below 2
    if [ "$drawn" -eq 1 ]; then
        random_below $((last_fault_ms - first_fault_ms - 5000))
        at=$((first_fault_ms + drawn))
        echo "$at event foreign rows"
        random_below 4000
        echo "$((at + 1000 + drawn)) event foreign none"
    fi
}

# ---- Actions ----------------------------------------------------------------

# Succeeds when the process has installed its handlers of SIGHUP and SIGTERM;
# before that, the signals would terminate it.
takes_signals() { # NAME
    local mask
    gw_alive "$1" || return 1
    mask=$(sed -n 's/^SigCgt:[[:space:]]*//p' \
        "/proc/${gw_pid[$1]}/status" 2>/dev/null)
    (((16#${mask:-0} & 0x4001) == 0x4001))
}

send_signal() { # NAME SIGNAL
    gw_alive "$1" || return 0
    site_signal_with_event "$1" "$2"
}

do_stop() { # NAME RESTART_AFTER_MS
    takes_signals "$1" || return 0
    signalled[$1]+=" TERM"
    restart_ms[$1]=$2
    send_signal "$1" TERM
}

do_kill() { # NAME RESTART_AFTER_MS
    signalled[$1]+=" KILL"
    restart_ms[$1]=$2
    send_signal "$1" KILL
}

do_pause() { # NAME
    send_signal "$1" STOP
}

do_resume() { # NAME
    send_signal "$1" CONT
}

do_settings() { # NAME RETRY_RATIO
    local file=$gw_dir/$1.json
    sed "s/\"retry_ratio\": [0-9.]*/\"retry_ratio\": $2/" "$file" \
        >"$file.new" && mv "$file.new" "$file"
    takes_signals "$1" && send_signal "$1" HUP
}

do_links() { # NAME STATE
    site_set_links "$1" "$2"
}

do_event() { # EVENT...
    site_send_event "$@"
}

start_process() { # NAME
    signalled[$1]=
    start_at_ms[$1]=0
    site_start_with_event "$1"
}

# Checks processes that have ended, and restarts those that are due.
check_processes() {
    local name rc now
    now=$(gw_now_ms)
    for name in "${site_entries[@]}"; do
        if [ -z "${gw_pid[$name]:-}" ]; then
            [ "$now" -lt "${start_at_ms[$name]}" ] || start_process "$name"
        elif ! gw_alive "$name"; then
            rc=0
            wait "${gw_pid[$name]}" 2>/dev/null || rc=$?
            unset "gw_pid[$name]"
            check_exit "$name" "$rc"
            start_at_ms[$name]=$((now + ${restart_ms[$name]:-0}))
        fi
    done
}

# Succeeds when an entry failed to start because another program took its port
# while the entry was down: the lock on port blocks covers only these tests.
port_was_taken() { # NAME EXIT_CODE
    [ "$2" -eq 1 ] &&
        tail -1 "$gw_dir/$1.log" | grep -q "can't listen at"
}

check_exit() { # NAME EXIT_CODE
    if port_was_taken "$@"; then
        gw_say "$1: $(tail -1 "$gw_dir/$1.log"), starting it again"
        restart_ms[$1]=500
        return
    fi
    case ${signalled[$1]} in
    *KILL*)
        [ "$2" -eq 137 ] || [ "$2" -eq 0 ] ||
            report_violation ends "$1 exited with $2 instead of being killed"
        ;;
    *TERM*)
        [ "$2" -eq 0 ] ||
            report_violation ends "$1 did not stop in order: exit $2"
        ;;
    *) report_violation ends "$1 exited without a signal: exit $2" ;;
    esac
}

play_schedule() {
    local begin at action
    begin=$(gw_now_ms)
    while read -r at action; do
        while [ $(($(gw_now_ms) - begin)) -lt "$at" ]; do
            check_processes
            sleep 0.03
        done
        # shellcheck disable=SC2086
        do_$action
    done <"$gw_dir/schedule"
}

# ---- End --------------------------------------------------------------------

end_faults() {
    local name i
    for name in "${site_entries[@]}"; do
        do_resume "$name"
        site_set_links "$name" up
    done
    for i in 0 1 2 3 4 5; do
        site_send_event ready "$i"
    done
    site_send_event store up
    site_send_event rewrite
    site_send_event faults 0
    site_send_event endless none
    site_send_event foreign none
    site_send_event reading usual
    site_send_event return d1
    site_send_event return d2
    site_send_event config 15000
}

is_ready() { # NAME
    [[ ${signalled[$1]} != *TERM* ]] &&
        gw_answers "127.0.0.1:$(site_port "$1" 1)" "$site_ready_path"
}

all_ready() {
    local name
    check_processes
    for name in "${site_entries[@]}"; do
        gw_alive "$name" && is_ready "$name" || return 1
    done
}

versions_of() { # NAME: prints the versions of its processes, 0 at each start
    sed -n -e 's/.*name=START .*/0/p' \
        -e 's/.*name=CONFIG_IN_FORCE version=\([0-9]*\).*/\1/p' \
        "$gw_dir/$1.log"
}

all_at_newest() {
    local name newest
    newest=$((3 + $(grep -cE '^event .* (config |revoke$)' "$gw_dir/simulator.log")))
    for name in "${site_entries[@]}"; do
        [ "$(versions_of "$name" | tail -1)" = "$newest" ] || return 1
    done
}

check_versions() {
    local name
    gw_await 20 all_at_newest ||
        report_violation versions "an entry is outdated"
    for name in "${site_entries[@]}"; do
        versions_of "$name" | awk '$1 > 0 && $1 < last { bad = 1 }
            { last = $1 } END { exit bad }' ||
            report_violation versions "$name went back to an older version"
    done
}

show_failure() {
    gw_say "seed $seed violated a guarantee; faults by time since the start:"
    grep '^event' "$gw_dir/simulator.log" | sed 's/^/  /'
    site_violations | sed 's/^/  /'
    rm -rf "$kept"
    mkdir -p "$kept"
    cp "$gw_dir"/*.log "$gw_dir"/*.json "$gw_dir/schedule" "$kept"
    gw_say "seed $seed: logs in $kept; again: make soak SEED=$seed"
}

gw_begin "$out" hen-viec-small || exit 2
site_slow_config
choose grace_ms 2000 2500 3500
choose work_ms 40 300 800
choose spread_ms 100 700
choose objects 50 1000000
site_grace=${grace_ms}ms
make_schedule >"$gw_dir/schedule"
for name in "${site_entries[@]}"; do
    signalled[$name]=
done
organisations=()
if ((seed % 2 == 0)); then
    site_use_organisations 200
    organisations=("${site_organisations[@]}")
    echo "8000 event revoke" >>"$gw_dir/schedule"
    sort -n -o "$gw_dir/schedule" "$gw_dir/schedule"
fi
site_begin_with_events "${organisations[@]}" --seconds 120 --callers 16 \
    --large-callers 4 --slots 10 --keep \
    --seed "$seed" --grace-ms "$grace_ms" --left-ms 8000 \
    --work-ms "$work_ms" --work-spread-ms "$spread_ms" \
    --faults 10 --depth "${DEPTH:-3}" --rest-ms 1200 \
    --objects "$objects" || exit 2
# Two of three values close idle connections early.
choose idle_ms 300 1000 15000
site_send_event config "$idle_ms"
schedule_links >>"$gw_dir/schedule"
schedule_restores >>"$gw_dir/schedule"
schedule_endless >>"$gw_dir/schedule"
schedule_short_cuts >>"$gw_dir/schedule"
schedule_foreign_rows >>"$gw_dir/schedule"
sort -n -o "$gw_dir/schedule" "$gw_dir/schedule"
play_schedule
end_faults
gw_await 45 all_ready ||
    report_violation recovery "an entry is not ready after the faults"
sleep 3
site_send_event calm
sleep 3
check_versions
site_send_event end
site_conclude || broken=1
[ "$broken" -eq 0 ] || show_failure
exit "$broken"
