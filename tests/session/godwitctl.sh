#!/bin/bash
# Runs every godwitctl command against real daemons. Checks the exit codes of
# godwitctl(1), that --json prints JSON, and that a change is in force at every
# entry when --wait reports it.
# usage: godwitctl.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh

checks=0

# Runs godwitctl; its standard output is in $out.
expect() { # EXIT CODE, then ENTRY and ARGUMENTS of godwitctl
    local want=$1 rc=0
    shift
    out=$(gw_ctl "$@" 2>"$gw_dir/ctl.err") || rc=$?
    checks=$((checks + 1))
    [ "$rc" -eq "$want" ] && return 0
    cat "$gw_dir/ctl.err"
    gw_fail "godwitctl ${*:2}: exit $rc, not $want: $out"
    exit 1
}

says() { # PATTERN: must match the output of the last command
    grep -qE "$1" <<<"$out" && return 0
    gw_fail "no \"$1\" in: $out"
    exit 1
}

expect_json() { # as expect
    expect "$@"
    perl -MJSON::PP -0777 -e 'decode_json(<STDIN>)' <<<"$out" && return 0
    gw_fail "godwitctl ${*:3}: no JSON: $out"
    exit 1
}

at_all() { # VERSION: must be reported by every entry itself, with --json
    local name
    for name in "${gw_entries[@]}"; do
        expect_json 0 "$name" --json status
        says "\"config_version\": ?$1,"
    done
}

# Succeeds when gossip has brought all members, each with version 1.
all_known() {
    local text name
    text=$(gw_ctl "$one" status) || return 1
    for name in "${gw_entries[@]}"; do
        grep -qE " $name +(ready|alive) +version 1( |\$)" <<<"$text" || return 1
    done
}

read_commands() {
    expect 0 "$one" status
    says "slowest: .* at version"
    expect_json 0 "$one" --json status
    expect 0 "$one" get
    says '"warmup_step": 4'
    expect_json 0 "$one" --json get
    expect 1 "$one" get 99
    expect 0 "$two" entries "$service"
    says "${gw_call[$two]}"
    expect_json 0 "$two" --json entries "$service"
    expect 0 "$two" --call-address "${gw_call[$two]}" entries "$service"
    expect 1 "$two" entries no-such-service
    expect_json 0 "$one" dump
    expect_json 0 "$one" --json dump
    expect 0 "$one" metrics
    says '^gw_calls_answered_total '
    expect_json 0 "$one" --json metrics
    expect 0 "$one" history
    expect_json 0 "$one" --json history
}

change_commands() {
    gw_configuration 10 >"$gw_dir/steering-2.json"
    expect 0 "$one" diff "$gw_dir/steering-2.json"
    says 'cap: 12 -> 10'
    expect_json 0 "$one" --json diff "$gw_dir/steering-2.json"
    expect_json 0 "$one" --json --base 1 --wait apply "$gw_dir/steering-2.json"
    says '"version": ?2'
    at_all 2
    expect 0 "$two" diff "$gw_dir/steering-2.json"
    [ -z "$out" ] || gw_fail "a difference after apply: $out" || exit 1
    expect 1 "$one" --base 1 apply "$gw_dir/steering-2.json"
    expect 0 "$two" --wait drain place "$service" "$place"
    expect 0 "$one" get
    says '"drain": ?true'
    expect 0 "$one" --wait undrain place "$service" "$place"
    expect 0 "$one" drain backend "$service" "$service-01"
    expect 0 "$two" undrain backend "$service" "$service-01"
    expect 1 "$one" drain backend "$service" no-such-server
    expect 0 "$one" --cap 7 --percent 5 shift "$service" "$place" "$other"
    expect 2 "$one" shift "$service" "$place" "$other"
    expect 0 "$two" --cap 33 link "$place" "$other"
    expect 1 "$one" --cap 33 link "$place" no-such-region
    expect 0 "$one" --request-id mine slots "$service" "$service-01" 2
    expect 0 "$two" --request-id mine slots "$service" "$service-01" 2
    expect 0 "$two" operation mine
    expect_json 0 "$one" --json operation mine
    says '"outcome": ?"accepted"'
    expect 1 "$one" operation never-sent
    expect 1 "$two" --request-id never-sent warmup 5
    expect 0 "$one" history --limit 100
    [ "$(grep -c ' mine ' <<<"$out")" -eq 1 ] ||
        gw_fail "one request id applied twice: $out" || exit 1
    expect 0 "$two" --wait rollback 2
    at_all 10
    expect 0 "$one" diff "$gw_dir/steering-2.json"
    [ -z "$out" ] || gw_fail "not version 2 after rollback: $out" || exit 1
    expect 1 "$one" rollback 99
}

call_commands() {
    local at=(--call-address "${gw_call[$one]}")
    printf '{"key": "by-hand"}' >"$gw_dir/body"
    expect 0 "$one" "${at[@]}" call GET "$service" /slots/1
    expect_json 0 "$one" "${at[@]}" --json call GET "$service" /slots/1
    says '"outcome": ?"answered"'
    expect 0 "$one" "${at[@]}" --body "$gw_dir/body" call POST "$service" \
        /bookings
    expect 1 "$one" "${at[@]}" call GET no-such-service /x
}

other_ends() {
    expect 2 "$one" no-such-command
    expect 2 "$one" drain floor "$service" "$place"
    gw_fault '"mode": "down", "for_ms": 600000' || exit 1
    expect 3 "$one" --request-id late warmup 9
    expect 3 "$one" operation late
    expect 0 "$one" get
    expect 0 "$one" status
    gw_fault '"mode": "none"' || exit 1
    gw_await 60 late_is_final || gw_fail "late stays pending" || exit 1
    gw_end "$one" KILL
    expect 4 "$one" status
    expect 4 "$one" warmup 9
}

late_is_final() {
    gw_ctl "$two" operation late >/dev/null 2>&1
    [ $? -le 1 ]
}

gw_begin "${1:?usage: godwitctl.sh BUILD}" hen-viec-small || exit 2
gw_system || exit 1
one=${gw_entries[0]}
two=${gw_entries[4]}
service=$(gw_first_service)
place=${gw_regions[0]}
other=${gw_regions[1]}
gw_await 60 all_known || gw_fail "not every member is known with version 1" ||
    exit 1
read_commands
change_commands
call_commands
other_ends
gw_say "$checks commands as expected"
