#!/bin/bash
# Servers send bytes without end until their connection is closed, fast or one
# byte each 0.2 s, and callers read large answers slowly or not at all.
#
# Guards against an entry that buffers what it receives, or what its callers do
# not read, until it is killed for its memory; against one such server that
# makes requests fail which it was not sent; and against requests that run
# twice because their answer never ended.
# usage: site_endless_answers.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

above_idle_max_kb=$((32 * 1024))
others_share_min=0.94
# The quarantine of the address sanitizer would keep freed memory resident.
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
idle_kb=
rc=0

status_kb() { # NAME FIELD
    sed -n "s/^$2:[[:space:]]*\([0-9]*\) kB/\1/p" "/proc/${gw_pid[$1]}/status"
}

is_ready() { # NAME
    gw_answers "127.0.0.1:$(site_port "$1" 1)" "$site_ready_path"
}

# Prints by how much each entry has exceeded its idle size so far. Fails if one
# has by more than it may.
check_sizes() { # AFTER
    local name above over=0 text=
    for name in "${site_entries[@]}"; do
        gw_alive "$name" || gw_fail "$name has exited" || return 1
        above=$(($(status_kb "$name" VmHWM) - idle_kb))
        text+=" $name $((above / 1024))"
        [ "$above" -le "$above_idle_max_kb" ] || over=1
    done
    echo "MB above idle after $1:$text"
    [ "$over" -eq 0 ] ||
        gw_fail "an entry has grown by more than $above_idle_max_kb kB"
}

play() { # SECONDS READING FAULT
    site_send_event reading "$2"
    site_send_event endless "$3"
    sleep "$1"
    check_sizes "$3, reading $2" || rc=1
}

gw_begin "$1" hen-viec-small || exit 1
site_begin_with_events --seconds 120 --callers 12 --large-callers 60 || exit 1
# Callers begin at once, so the smallest entry is the one nearest to idle.
for name in "${site_entries[@]}"; do
    gw_await 20 is_ready "$name" || gw_fail "$name is not ready" || exit 1
    now_kb=$(status_kb "$name" VmRSS)
    [ "${idle_kb:-$now_kb}" -lt "$now_kb" ] || idle_kb=$now_kb
done
echo "idle size: $idle_kb kB"
play 1 usual none
for speed in fast slow; do
    play 3 usual "any,$speed,600,1"
done
play 2.5 none none
for kind in chunked close head behind second; do
    play 1.2 mixed "$kind,fast,600,3"
done
play 2 mixed any,slow,600,3
site_send_event endless none
site_send_event reading usual
site_send_event end
site_conclude || gw_fail "a guarantee is broken" || rc=1
# Each fault must have struck, and the one server must not have harmed others.
sed -nE 's/^endless (.*): ([0-9]+), ([0-9]+) of ([0-9]+) .*/\1 \2 \3 \4/p' \
    "$gw_dir/simulator.log" >"$gw_dir/endless"
awk '$2 > 0 { n++ } END { exit n != 8 }' "$gw_dir/endless" &&
    grep -q '^unread: ' "$gw_dir/simulator.log" ||
    gw_fail "a fault did not occur" || rc=1
awk -v min="$others_share_min" '$1 ~ /,1$/ && $3 < min * $4 { bad = 1 }
    END { exit bad }' "$gw_dir/endless" ||
    gw_fail "too few of the other requests were answered" || rc=1
exit $rc
