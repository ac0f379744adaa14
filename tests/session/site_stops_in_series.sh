#!/bin/bash
# Entries are restarted in series, some at the same time, while runs take much
# of the grace period and callers keep their entry until it exits, regardless
# of the directory.
#
# A stopping entry that sends a request to a server which needs longer than the
# entry has left would exit during the run; the caller's connection closes
# without an answer, and the caller cannot know whether the request ran.
# Requests received after SIGTERM must be answered completely, or be refused
# without running, with Retry-After and a closed connection. Only requests in
# flight at SIGTERM may be cut off, and only after the grace period.
# usage: site_stops_in_series.sh BUILD [SEED]
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

# Cold runs of 0.8 to 1.5 s, practically no object requested twice; callers
# wait 8 s. Servers refuse one request in ten, which is sent to a second
# server.
site_grace=2500ms
site_entries=(e1 e2 e3 e4)
replace() { # NAME...: all get SIGTERM, half a second apart
    local name rc
    for name in "$@"; do
        site_signal_with_event "$name" TERM
        sleep 0.5
    done
    for name in "$@"; do
        rc=0
        site_wait_end "$name" || rc=$?
        [ "$rc" -eq 0 ] || gw_fail "$name did not stop in order: $rc" ||
            return 1
        site_start_with_event "$name"
    done
}

gw_begin "$1" hen-viec-small || exit 1
site_slow_config
site_begin_with_events --seconds 60 --callers 16 --slots 6 --keep \
    --seed "${2:-1}" \
    --grace-ms 2500 --left-ms 8000 --work-ms 800 --work-spread-ms 700 \
    --refuse 100 --objects 1000000 || exit 1
sleep 3
for _ in 1 2; do
    replace e1 && replace e2 e3 && replace e4 && replace e1 e2 || exit 1
    sleep 1
done
site_send_event end
site_conclude
rc=$?
site_violations
exit "$rc"
