# Functions to run entries of godwitedge beside standin_site; sourced by
# standins/demo_site.sh and tests/session/site_*.sh after lib.sh.

site_entries=(e1 e2 e3)
declare -A site_domain=([e1]=d1 [e2]=d2 [e3]=d1 [e4]=d2 [e5]=d1)
site_link_mbps=1000
site_grace=6s
site_ready_path=/godwitridge/readiness
site_config=deploy/demo/config.json

# Five ports an entry, from the tenth of the block.
site_port() { # NAME OFFSET
    echo $((gw_base + 10 * ${1#e} + $2))
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
  "store_address": "127.0.0.1:$gw_base",
  "regions": {"d1": "r1", "d2": "r1"}, "link_mbps": $site_link_mbps,
  "retry_ratio": 0.2, "retry_extra": 60, "grace": "$site_grace"
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

# The world plays events and signals entries, so that it can tell what came
# after a signal. After gw_begin. usage: site_begin_played [OPTION...]
site_begin_played() {
    local name
    site_pipe=$gw_dir/commands
    mkfifo "$site_pipe" || return 1
    # Held open for both, so that no writer waits and none ends it.
    exec {site_commands}<>"$site_pipe"
    site_start_world --commands "$site_pipe" "$@"
    for name in "${site_entries[@]}"; do
        site_write_settings "$name"
        site_play_start "$name"
    done
}

# usage: site_play EVENT...
site_play() {
    printf '%s\n' "$*" >&"$site_commands"
}

# Asks an entry as operators do.
site_ctl() { # NAME COMMAND...
    local name=$1
    shift
    "$gw_out"/godwitctl --admin "127.0.0.1:$(site_port "$name" 3)" "$@"
}

site_address() { # NAME
    echo "127.0.0.1:$(site_port "$1" 0)"
}

site_play_start() { # NAME
    site_play start "$(site_address "$1")"
    site_start_entry "$1"
}

site_play_signal() { # NAME SIGNAL
    site_play signal "$2" "$(site_address "$1")" "${gw_pid[$1]}"
}

# Waits for the end of a process that has got a signal; gives its exit code.
# One that is still there after 45 s is killed.
site_wait_end() { # NAME
    local rc=0 pid=${gw_pid[$1]}
    { # the shell itself says "Killed" of a job
        gw_await 45 gw_ended "$1" || kill -KILL "$pid"
        wait "$pid" || rc=$?
    } 2>/dev/null
    unset "gw_pid[$1]"
    return "$rc"
}

# Starts the site's other parts. usage: site_start_world [OPTION...]
site_start_world() {
    gw_start world "$gw_out"/standin_site --store "127.0.0.1:$gw_base" \
        --directories "$(site_directories)" --port $((gw_base + 100)) \
        --config "$site_config" --server deploy/demo/server.json \
        "$@"
}

site_begin() { # BUILD [OPTION OF THE WORLD...]
    local out=$1 name
    shift
    gw_begin "$out" hen-viec-small || return 1
    for name in "${site_entries[@]}"; do
        site_write_settings "$name"
        site_start_entry "$name"
    done
    site_start_world "$@"
}

# The configuration with long time-outs of its routes, for slow servers.
site_slow_config() {
    site_config=$gw_dir/config.json
    sed -E 's/"timeout":"[0-9]+ms"/"timeout":"9000ms"/' \
        deploy/demo/config.json >"$site_config"
}

# The configuration with one more route, of which nobody has seen a run, and
# time for callers to send half a request and wait.
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

# The requests that broke a promise, or whose connection ended unanswered.
site_broken() {
    grep -E '^(CUT|FALSE|BARE|NO|WRONG|DOUBLED|BEHIND|crossed)' \
        "$gw_dir/world.log"
}

# Waits for the end of the world and prints what it saw.
site_conclude() {
    local rc=0
    wait "${gw_pid[world]}" || rc=$?
    unset 'gw_pid[world]'
    grep -E '^(site|stops|calm|broken):' "$gw_dir/world.log"
    return "$rc"
}
