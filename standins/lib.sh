# Functions to start, disturb and stop a complete system on one machine;
# sourced by standins/demo.sh and tests/session/*.sh. Processes are signalled
# by pid.
#
#   gw_begin BUILD SITE   sets up directory, ports and names; clean-up on exit
#   gw_system             starts everything and applies the first configuration
# Environment: GW_PORT_BASE (the first free block of 200 from 20000),
# GW_SERVICE_MS (40), KEEP=1 keeps the directory.

declare -A gw_pid gw_call gw_peer gw_admin gw_region gw_domain
declare -A gw_control gw_caller_entries
gw_entries=()

gw_say() {
    printf '%s\n' "$*"
}

gw_fail() {
    printf 'failed: %s\n' "$*" >&2
    return 1
}

gw_now_ms() {
    echo $((${EPOCHREALTIME/./} / 1000))
}

# Waits until a command succeeds. usage: gw_await SECONDS COMMAND...
gw_await() {
    local end=$(($(gw_now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(gw_now_ms)" -lt "$end" ] || return 1
        sleep 0.05
    done
}

# Sends one HTTP request and prints the body.
# usage: gw_request METHOD ADDR PATH [BODY]
gw_request() {
    "$gw_out"/standin_callers --request "$1" --at "$2" --path "$3" \
        ${4:+--body "$4"} --deadline-ms 2000
}

gw_answers() { # ADDR PATH
    gw_request GET "$1" "$2" >/dev/null 2>&1
}

# Starts a process under a name. usage: gw_start NAME COMMAND...
gw_start() {
    local name=$1
    shift
    "$@" >>"$gw_dir/$name.log" 2>&1 &
    gw_pid[$name]=$!
}

gw_alive() { # NAME
    [ -n "${gw_pid[$1]:-}" ] && kill -0 "${gw_pid[$1]}" 2>/dev/null
}

gw_ended() { # NAME
    ! gw_alive "$1"
}

# Sends a signal, waits for the process and returns its exit code. Kills the
# process after 45 s, which is more than leave_bound_ms.
gw_end() { # NAME SIGNAL
    local pid=${gw_pid[$1]}
    local rc=0
    kill -"$2" "$pid" 2>/dev/null
    { # hides the shell's own "Killed" message
        gw_await 45 gw_ended "$1" || kill -KILL "$pid"
        wait "$pid" || rc=$?
    } 2>/dev/null
    unset "gw_pid[$1]"
    return "$rc"
}

# Stops all remaining processes: SIGTERM, then SIGKILL after 5 s.
gw_cleanup() {
    local name
    for name in "${!gw_pid[@]}"; do
        kill -TERM "${gw_pid[$name]}" 2>/dev/null
    done
    gw_await 5 gw_none_alive
    for name in "${!gw_pid[@]}"; do
        kill -KILL "${gw_pid[$name]}" 2>/dev/null
        wait "${gw_pid[$name]}" 2>/dev/null
    done
    if [ -n "${KEEP:-}" ]; then
        gw_say "kept: $gw_dir" >&2
    else
        rm -rf "$gw_dir"
    fi
}

gw_none_alive() {
    local name
    for name in "${!gw_pid[@]}"; do
        gw_alive "$name" && return 1
    done
    return 0
}

# Sets the sizes of a site. A service is name:servers:slots.
gw_site() {
    case $1 in
    hen-viec)
        gw_regions=(ha-noi da-nang sai-gon)
        gw_services=(lich-hen:25:3 ket-noi:10:3)
        gw_connections=330
        gw_domain_us=1500
        gw_region_us=55000
        gw_mix=lich-hen:look-up=45,lich-hen:booking=25
        gw_mix+=,ket-noi:look-up=15,ket-noi:confirmation=15
        ;;
    hen-viec-small) # a third of the servers, for tests
        gw_site hen-viec
        gw_services=(lich-hen:9:3 ket-noi:3:3)
        ;;
    dyehouse)
        gw_regions=(riga ogre valmiera)
        gw_services=(vatdesk:35:6 lotgate:10:3)
        gw_connections=400
        gw_domain_us=1000
        gw_region_us=20000
        gw_mix=vatdesk:look-up=45,vatdesk:dose=25
        gw_mix+=,lotgate:look-up=15,lotgate:release=15
        ;;
    *) gw_fail "SITE is hen-viec or dyehouse, not $1" ;;
    esac
}

# Assigns three entries in two failure domains to each region. Ports from the
# base: platform, control ports, three per entry, then the backend servers.
gw_place_entries() {
    local region n name port=$((gw_base + 20))
    for region in "${gw_regions[@]}"; do
        for n in 1 2 3; do
            name=$region-$n
            gw_entries+=("$name")
            gw_region[$name]=$region
            gw_domain[$name]=$region-$([ "$n" -eq 2 ] && echo b || echo a)
            gw_call[$name]=127.0.0.1:$port
            gw_peer[$name]=127.0.0.1:$((port + 1))
            gw_admin[$name]=127.0.0.1:$((port + 2))
            gw_caller_entries[$region]+=${gw_caller_entries[$region]:+,}
            gw_caller_entries[$region]+=${gw_call[$name]}
            port=$((port + 3))
        done
    done
}

gw_port_bases() {
    if [ -n "${GW_PORT_BASE:-}" ]; then
        echo "$GW_PORT_BASE"
    else
        seq 20000 200 31800
    fi
}

# Succeeds when nothing listens in the block of 200 ports.
gw_block_free() { # BASE
    local listening=0A address state port
    while read -r _ address _ state _; do
        [ "$state" = "$listening" ] || continue
        port=$((16#${address##*:}))
        if [ "$port" -ge "$1" ] && [ "$port" -lt $(($1 + 200)) ]; then
            return 1
        fi
    done < <(tail -n +2 /proc/net/tcp)
}

# Locks a free block of ports. Two systems on the same ports would fail in
# unclear ways, since their entries refuse each other's token. All processes of
# the system inherit the descriptor, so the lock is held until the last exits.
gw_take_ports() {
    local base lock
    for base in $(gw_port_bases); do
        exec {lock}>"${TMPDIR:-/tmp}/godwitridge-ports-$base.lock"
        if flock -n "$lock" && gw_block_free "$base"; then
            gw_base=$base
            return 0
        fi
        exec {lock}>&-
    done
    gw_fail "no block of 200 ports is free"
}

# usage: gw_begin BUILD SITE
gw_begin() {
    gw_out=$1
    gw_site "$2" || return 1
    gw_take_ports || return 1
    gw_dir=$(mktemp -d) || return 1
    trap gw_cleanup EXIT
    trap 'exit 130' INT TERM
    gw_platform=127.0.0.1:$gw_base
    gw_place_entries
    local i
    for i in "${!gw_regions[@]}"; do
        gw_control[${gw_regions[$i]}]=127.0.0.1:$((gw_base + 1 + i))
    done
    gw_token=$gw_dir/token
    gw_key=$gw_dir/cluster-key
    (umask 077 && od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$gw_token" &&
        od -An -N32 -tx1 /dev/urandom | tr -d ' \n' >"$gw_key")
}

# Prints "service name address slots" for each backend server of a region. The
# servers of a service are distributed to the regions in turn.
gw_backends_of() { # REGION
    local spec service count slots i port=$((gw_base + 100))
    for spec in "${gw_services[@]}"; do
        IFS=: read -r service count slots <<<"$spec"
        for ((i = 0; i < count; i++)); do
            if [ "${gw_regions[i % ${#gw_regions[@]}]}" = "$1" ]; then
                printf '%s %s-%02d 127.0.0.1:%d %d\n' "$service" "$service" \
                    $((i + 1)) "$port" "$slots"
            fi
            port=$((port + 1))
        done
    done
}

gw_write_backends() { # REGION
    local service name address slots comma=
    printf '{"servers": ['
    while read -r service name address slots; do
        printf '%s\n{"service": "%s", "name": "%s", "address": "%s", ' \
            "$comma" "$service" "$name" "$address"
        printf '"slots": %d, "connections": %d}' "$slots" "$gw_connections"
        comma=,
    done < <(gw_backends_of "$1")
    printf ']}\n'
}

gw_start_platform() { # [OPTION...]
    gw_start platform "$gw_out"/standin_platform --listen "$gw_platform" "$@"
    gw_await 60 gw_answers "$gw_platform" /stats ||
        gw_fail "the platform does not answer"
}

gw_start_backends() { # REGION [OPTION...]
    local region=$1
    shift
    gw_write_backends "$region" >"$gw_dir/backends-$region.json"
    gw_start "backends-$region" "$gw_out"/standin_backends \
        --config "$gw_dir/backends-$region.json" \
        --control "${gw_control[$region]}" \
        --service-ms "${GW_SERVICE_MS:-40}" "$@"
    gw_await 60 gw_answers "${gw_control[$region]}" /stats ||
        gw_fail "the backend servers of $region do not answer"
}

# Sets flags of a backend server, or of all in a region with the name '*'.
# usage: gw_backend REGION NAME '"drain": true'
gw_backend() {
    gw_request POST "${gw_control[$1]}" /control \
        "{\"backend\": \"$2\", $3}" >/dev/null
}

# Injects a fault into the platform.
# usage: gw_fault '"mode": "down", "for_ms": 10000'
gw_fault() {
    gw_request POST "$gw_platform" /control/faults "{$1}" >/dev/null
}

gw_list() { # NAME live|leaving|gone
    gw_request POST "$gw_platform" /control/instances \
        "{\"name\": \"$1\", \"peer_address\": \"${gw_peer[$1]}\",
          \"state\": \"$2\"}" >/dev/null
}

gw_delays() { # REGION
    local region
    printf '"": %d' "$gw_domain_us"
    for region in "${gw_regions[@]}"; do
        [ "$region" = "$1" ] || printf ', "%s": %d' "$region" "$gw_region_us"
    done
}

# Prints the settings of an entry; a second argument adds keys.
gw_settings() { # NAME ['"key": value']
    cat <<END
{
  "name": "$1",
  "region": "${gw_region[$1]}",
  "domain": "${gw_domain[$1]}",
  "peer_address": "${gw_peer[$1]}",
  "call_address": "${gw_call[$1]}",
  "admin_address": "${gw_admin[$1]}",
  "platform_url": "http://$gw_platform",
  "admin_token_file": "$gw_token",
  "cluster_key_file": "$gw_key",
  "log_level": "info",
  "caller_threads": 256,${2:+
  $2,}
  "test_delays": {$(gw_delays "${gw_region[$1]}")}
}
END
}

# Starts an entry and lists it as live. usage: gw_start_entry NAME ['"key": v']
gw_start_entry() {
    gw_settings "$@" >"$gw_dir/$1.json"
    gw_start "$1" "$gw_out"/godwitd --settings "$gw_dir/$1.json"
    gw_list "$1" live
}

gw_entry_ready() { # NAME
    gw_answers "${gw_call[$1]}" /v1/health
}

gw_ctl() { # NAME ARGUMENT...
    local name=$1
    shift
    "$gw_out"/godwitctl --admin "${gw_admin[$name]}" \
        --token-file "$gw_token" "$@"
}

gw_first_service() {
    echo "${gw_services[0]%%:*}"
}

# Prints the configuration version that an entry reports to callers; 0: none.
gw_version() { # NAME
    local text
    text=$(gw_request GET "${gw_call[$1]}" \
        "/v1/entries/$(gw_first_service)?tickets=0" 2>/dev/null)
    text=$(sed -n 's/.*"config_version": *\([0-9]*\).*/\1/p' <<<"$text")
    echo "${text:-0}"
}

gw_all_at() { # VERSION: every running entry serves this version or a later one
    local name
    for name in "${gw_entries[@]}"; do
        gw_alive "$name" || continue
        [ "$(gw_version "$name")" -ge "$1" ] || return 1
    done
}

gw_write_operations() { # SERVICE
    local look write
    case $1 in
    lich-hen) look='/slots*' write=/bookings ;;
    ket-noi) look='/placements*' write=/confirmations ;;
    vatdesk) look='/recipes*' write=/doses ;;
    lotgate) look='/lots*' write=/releases ;;
    esac
    printf '{"method": "GET", "path": "%s", "idempotent": true},\n' "$look"
    printf '{"method": "POST", "path": "%s", "idempotent": false}' "$write"
}

gw_write_services() {
    local spec comma=
    for spec in "${gw_services[@]}"; do
        printf '%s\n{"name": "%s", "deadline_max_ms": 10000,\n' "$comma" \
            "${spec%%:*}"
        printf '"hedge_percentile": 95, "operations": [\n'
        gw_write_operations "${spec%%:*}"
        printf ']}'
        comma=,
    done
}

gw_write_place() { # REGION SERVICE
    local service name address slots comma=
    printf '{"service": "%s", "region": "%s", "drain": false,\n' "$2" "$1"
    printf '"backends": ['
    while read -r service name address slots; do
        [ "$service" = "$2" ] || continue
        printf '%s\n{"name": "%s", "address": "%s", "slots": %d, ' "$comma" \
            "$name" "$address" "$slots"
        printf '"connections": %d, "drain": false}' "$gw_connections"
        comma=,
    done < <(gw_backends_of "$1")
    printf ']}'
}

# Prints every ordered pair of regions, one per line.
gw_pairs() {
    local from to
    for from in "${gw_regions[@]}"; do
        for to in "${gw_regions[@]}"; do
            [ "$from" = "$to" ] || echo "$from $to"
        done
    done
}

gw_write_shifts() { # CAP
    local spec from to comma=
    for spec in "${gw_services[@]}"; do
        while read -r from to; do
            printf '%s\n{"service": "%s", "from": "%s", "to": "%s", ' \
                "$comma" "${spec%%:*}" "$from" "$to"
            printf '"cap": %d, "percent": 0}' "$1"
            comma=,
        done < <(gw_pairs)
    done
}

# Prints the steering configuration. usage: gw_configuration SHIFT_CAP
gw_configuration() {
    local region spec from to comma=
    printf '{"warmup_step": 4,\n"regions": ['
    for region in "${gw_regions[@]}"; do
        printf '%s{"name": "%s", "seats": 12}' "$comma" "$region"
        comma=', '
    done
    printf '],\n"services": [%s],\n"places": [' "$(gw_write_services)"
    comma=
    for spec in "${gw_services[@]}"; do
        for region in "${gw_regions[@]}"; do
            printf '%s\n' "$comma"
            gw_write_place "$region" "${spec%%:*}"
            comma=,
        done
    done
    printf '],\n"shifts": [%s],\n"links": [' "$(gw_write_shifts "$1")"
    comma=
    while read -r from to; do
        printf '%s\n{"from": "%s", "to": "%s", "cap": 50}' "$comma" "$from" \
            "$to"
        comma=,
    done < <(gw_pairs)
    printf ']}\n'
}

gw_apply() { # NAME FILE [ARGUMENT...]
    local name=$1 file=$2
    shift 2
    gw_ctl "$name" apply "$file" "$@"
}

gw_all_controls() {
    local region list=
    for region in "${gw_regions[@]}"; do
        list+=${list:+,}${gw_control[$region]}
    done
    echo "$list"
}

# Prints the regions with their entries, as standin_callers takes them.
gw_caller_regions() {
    local region
    for region in "${gw_regions[@]}"; do
        echo "$region=${gw_caller_entries[$region]}"
    done
}

gw_admin_up() { # NAME: any answer will do, also a refusal for lack of a token
    gw_request GET "${gw_admin[$1]}" /metrics >/dev/null 2>&1
    [ $? -ne 3 ]
}

# Starts the complete site and waits until every entry is ready.
gw_system() {
    local region name
    gw_start_platform --list-lag-ms 1000 || return 1
    for region in "${gw_regions[@]}"; do
        gw_start_backends "$region" || return 1
    done
    for name in "${gw_entries[@]}"; do
        gw_start_entry "$name"
    done
    gw_await 60 gw_admin_up "${gw_entries[0]}" ||
        gw_fail "${gw_entries[0]} does not listen" || return 1
    gw_configuration 12 >"$gw_dir/steering-1.json"
    gw_await 60 gw_apply "${gw_entries[0]}" "$gw_dir/steering-1.json" \
        >"$gw_dir/apply-1.log" 2>&1 ||
        gw_fail "the first configuration was not accepted" || return 1
    for name in "${gw_entries[@]}"; do
        gw_await 60 gw_entry_ready "$name" ||
            gw_fail "$name is not ready" || return 1
    done
}

# Starts load that lasts until gw_end_callers.
# usage: gw_start_callers [OPTION...]
gw_start_callers() {
    local regions
    mapfile -t regions < <(gw_caller_regions)
    gw_start callers "$gw_out"/standin_callers --mix "$gw_mix" \
        --duration 3600 --journals "$(gw_all_controls)" \
        --report "$gw_dir/report.json" "$@" "${regions[@]}"
}

# Ends the load, waits for all outcomes and prints the report. Fails when a
# request ran twice, was falsely refused, wrongly answered or had no outcome.
gw_end_callers() {
    local rc=0
    gw_end callers TERM || rc=$?
    cat "$gw_dir/callers.log"
    [ "$rc" -eq 0 ] || gw_fail "the callers exited with $rc" || return 1
    grep -q '"no_outcome":0,' "$gw_dir/report.json" ||
        gw_fail "requests were left without an outcome"
}

gw_head() { # prints the newest version in the platform's table
    gw_ctl "${gw_entries[0]}" history --limit 1 | cut -d ' ' -f 1
}

# Stops an entry as the platform does: listed as leaving before SIGTERM, and as
# gone after the process has exited.
gw_stop_entry() { # NAME
    local rc=0
    gw_list "$1" leaving
    gw_end "$1" TERM || rc=$?
    gw_list "$1" gone
    return "$rc"
}
