#!/bin/bash
# Entries are replaced one after another, some at the same time, while runs
# take a good part of the grace and callers stay at their entry until it is
# gone, whatever the directory says.
#
# A caller sends a request to an entry that has got SIGTERM; it is passed on,
# its server needs longer than the entry has left, and the process ends: the
# connection is closed with no answer while the request runs. Whoever sent it
# can't know whether it was done.
# What comes after SIGTERM is to be answered whole, or refused truly with a
# time to come back and the connection closed; only what was under way at
# SIGTERM may be cut, and only when the grace is over.
# usage: site_stops_in_series.sh BUILD [SEED]
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

# Cold runs of 0.8 to 1.5 s, no object asked for twice; callers wait 8 s. One
# request in ten is refused by its first server and sent to a second.
site_grace=2500ms
site_entries=(e1 e2 e3 e4)
replace() { # NAME...: all get SIGTERM, half a second apart
    local name rc
    for name in "$@"; do
        site_play_signal "$name" TERM
        sleep 0.5
    done
    for name in "$@"; do
        rc=0
        site_wait_end "$name" || rc=$?
        [ "$rc" -eq 0 ] || gw_fail "$name did not stop in order: $rc" ||
            return 1
        site_play_start "$name"
    done
}

gw_begin "$1" hen-viec-small || exit 1
site_slow_config
site_begin_played --seconds 60 --callers 16 --slots 6 --keep --seed "${2:-1}" \
    --grace-ms 2500 --left-ms 8000 --work-ms 800 --work-spread-ms 700 \
    --refuse 100 --objects 1000000 || exit 1
sleep 3
for _ in 1 2; do
    replace e1 && replace e2 e3 && replace e4 && replace e1 e2 || exit 1
    sleep 1
done
site_play end
site_conclude
rc=$?
site_broken
exit "$rc"
