# Functions to run godwitedge entries together with standin_site; sourced by
# standins/demo_site.sh and tests/session/site_*.sh after lib.sh.

site_entries=(e1 e2 e3)
declare -A site_domain=([e1]=d1 [e2]=d2 [e3]=d1 [e4]=d2 [e5]=d1)
site_link_mbps=1000
site_grace=6s
site_ready_path=/godwitridge/readiness
site_config=deploy/demo/config.json

# Settings of an entry beyond the usual ones.
site_more_settings=

# Gives callers keys of two organisations, beta with that many requests a
# second. Sets site_organisations to options of standin_site.
site_use_organisations() { # RATE
    site_more_settings=', "revocation_bound": "5s", "quota_window": "5s",
  "quota_overrun": 0.1, "quota_slack": 20'
    site_organisations=(--organisations deploy/demo/organisations.json
        --beta-rate "$1")
}

# Succeeds if no log of an entry and no page of a running one has a key.
site_shows_no_key() {
    local name page
    for name in "${site_entries[@]}"; do
        if grep -qE '(alpha|beta|beta-old)-key' "$gw_dir/$name.log"; then
            echo "broken: a key in the log of $name"
            return 1
        fi
        for page in metrics dump status suspects organisations; do
            if site_ctl "$name" --json "$page" 2>/dev/null |
                grep -qE '(alpha|beta|beta-old)-key'; then
                echo "broken: a key in $page of $name"
                return 1
            fi
        done
    done
}

# Prints a port of an entry: five per entry, from the tenth of the block.
site_port() { # NAME OFFSET
    echo $((gw_base + 10 * ${1#e} + $2))
}

# Prints the address that an entry connects to servers from.
site_source() { # NAME
    echo "127.0.0.$((10 + ${1#e}))"
}

# Cuts the links of an entry to all servers, or to those of one service, or sets
# them up again.
# usage: site_set_links NAME up|silent|reset|no-setup [SERVICE]
site_set_links() {
    site_send_event links "$2" "$(site_source "$1")" "$(site_address "$1")" \
        ${3:+"$3"}
}

site_write_settings() { # NAME
    cat >"$gw_dir/$1.json" <<JSON
{ /* an entry of the small site */
  "name": "$1", "region": "r1", "domain": "${site_domain[$1]}",
  "call_address": "127.0.0.1:$(site_port "$1" 0)",
  "ready_address": "127.0.0.1:$(site_port "$1" 1)",
  "directory_address": "127.0.0.1:$(site_port "$1" 2)",
  "control_address": "127.0.0.1:$(site_port "$1" 3)",
  "peer_address": "127.0.0.1:$(site_port "$1" 4)",
  "source_address": "$(site_source "$1")",
  "store_address": "127.0.0.1:$gw_base",
  "regions": {"d1": "r1", "d2": "r1"}, "link_mbps": $site_link_mbps,
  "retry_ratio": 0.2, "retry_extra": 60, "grace": "$site_grace"$site_more_settings
}
JSON
}

site_start_entry() { # NAME
    gw_start "$1" "$gw_out"/godwitedge --settings "$gw_dir/$1.json"
}

site_directories() {
    local name list=
    for name in "${site_entries[@]}"; do
        list+=,127.0.0.1:$(site_port "$name" 2)
    done
    echo "${list#,}"
}

# Starts the site with a command pipe. standin_site signals the entries itself,
# so that its journal knows which requests were sent after a signal. Requires
# gw_begin. usage: site_begin_with_events [OPTION...]
site_begin_with_events() {
    local name
    site_pipe=$gw_dir/commands
    mkfifo "$site_pipe" || return 1
    # Open for reading and writing: writers do not block, and the pipe has no
    # end of file.
    exec {site_commands}<>"$site_pipe"
    site_start_simulator --commands "$site_pipe" "$@"
    for name in "${site_entries[@]}"; do
        site_write_settings "$name"
        site_start_with_event "$name"
    done
}

# Sends an event to standin_site. usage: site_send_event EVENT...
site_send_event() {
    printf '%s\n' "$*" >&"$site_commands"
}

# Runs godwitctl on an entry.
site_ctl() { # NAME COMMAND...
    local name=$1
    shift
    "$gw_out"/godwitctl --admin "127.0.0.1:$(site_port "$name" 3)" "$@"
}

site_address() { # NAME
    echo "127.0.0.1:$(site_port "$1" 0)"
}

site_start_with_event() { # NAME
    site_send_event start "$(site_address "$1")"
    site_start_entry "$1"
}

site_signal_with_event() { # NAME SIGNAL
    site_send_event signal "$2" "$(site_address "$1")" "${gw_pid[$1]}"
}

# Waits for a signalled process and returns its exit code. Kills the process
# after 45 s.
site_wait_end() { # NAME
    local rc=0 pid=${gw_pid[$1]}
    { # hides the shell's own "Killed" message
        gw_await 45 gw_ended "$1" || kill -KILL "$pid"
        wait "$pid" || rc=$?
    } 2>/dev/null
    unset "gw_pid[$1]"
    return "$rc"
}

# Starts standin_site. usage: site_start_simulator [OPTION...]
site_start_simulator() {
    gw_start simulator "$gw_out"/standin_site --store "127.0.0.1:$gw_base" \
        --directories "$(site_directories)" --port $((gw_base + 100)) \
        --config "$site_config" --server deploy/demo/server.json \
        "$@"
}

site_begin() { # BUILD [OPTION OF standin_site...]
    local out=$1 name
    shift
    gw_begin "$out" hen-viec-small || return 1
    for name in "${site_entries[@]}"; do
        site_write_settings "$name"
        site_start_entry "$name"
    done
    site_start_simulator "$@"
}

# Prepares a configuration with long route timeouts, for slow servers.
site_slow_config() {
    site_config=$gw_dir/config.json
    sed -E 's/"timeout":"[0-9]+ms"/"timeout":"9000ms"/' \
        deploy/demo/config.json >"$site_config"
}

# Prepares a configuration with a further route, without any statistics of
# runs, and a header timeout that lets callers pause within a request.
site_late_config() {
    local route='{"name":"long","prefix":"/long/","kind":"unsafe",'
    route+='"timeout":"20000ms","objective":"6000ms","priority":1,'
    route+='"service":"slots","max_attempts":2,"sticky_sessions":true,'
    route+='"home_regions":[]},'
    site_config=$gw_dir/config.json
    sed -e 's/"header_timeout":"3000ms"/"header_timeout":"30s"/' \
        -e "s|\"paths\":\[|\"paths\":[$route|" \
        deploy/demo/config.json >"$site_config"
}

# Prints the requests that violated a guarantee or whose connection closed
# without an answer.
site_violations() {
    grep -E '^(CUT|BROKEN|FALSE|BARE|NO|NOT|WRONG|DOUBLED|BEHIND|crossed)' \
        "$gw_dir/simulator.log"
}

# Waits for standin_site to end and prints its summary.
site_conclude() {
    local rc=0
    wait "${gw_pid[simulator]}" || rc=$?
    unset 'gw_pid[simulator]'
    grep -E '^(site|stops|links|calm|unread|broken|endless [^:]*|organisations|organisation [a-z]+):' \
        "$gw_dir/simulator.log"
    return "$rc"
}
