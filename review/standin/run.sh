# Functions of the scripts; sourced by review/N/run.sh, in whose folder the
# record is written.

review_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
repository=$(dirname "$review_dir")
case_dir=$(cd "$(dirname "$0")" && pwd)
export RECORD=$case_dir/record.txt
: >"$RECORD"
scratch=$(mktemp -d)
entry_pid=

note() {
    printf 'script   %s\n' "$*" >>"$RECORD"
}

not_run() {
    note "$*"
    exit 2
}

# Ends what this script started, by its id.
clean_up() {
    local pid
    for pid in $entry_pid; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$scratch"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

# Addresses of one run: a net of 127/8 that nothing listens on.
choose_net() {
    local try hex
    for try in 1 2 3 4 5 6 7 8; do
        net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
        hex=$(printf '%02X%02X7F' "${net##*.}" "$(cut -d. -f2 <<<"$net")")
        grep -q "^ *[0-9]*: [0-9A-F][0-9A-F]$hex:" /proc/net/tcp || return 0
    done
    not_run "no free addresses"
}

# Fills in deploy/settings.template as the platform does.
# usage: write_settings NODE IP ZONE REGION MEMORY_MB FD_LIMIT LINK_MBPS
write_settings() {
    sed -e "s|{{ip}}|$2|g" -e "s|{{region.json}}|\"$4\"|" -e "s|{{zone.json}}|\"$3\"|" \
        -e "s|{{node.json}}|\"$1\"|" \
        -e "s|{{listen.front.json}}|\"$2:8161\"|" \
        -e "s|{{listen.ready.json}}|\"$2:8167\"|" \
        -e "s|{{listen.directory.json}}|\"$2:8164\"|" \
        -e "s|{{listen.control.json}}|\"$2:8166\"|" \
        -e "s|{{internal_ports.0}}|7720|g" \
        -e "s|{{platform.address.json}}|\"$net.200:8169\"|" \
        -e "s|{{seeds.json}}|[\"$net.1:8166\"]|" \
        -e "s|{{zones.json}}|{\"z1\": \"r1\", \"z2\": \"r1\"}|" \
        -e "s|{{bounds.budget_ratio}}|0.2|" \
        -e "s|{{bounds.budget_extra_tries}}|58|" \
        -e "s|{{bounds.budget_window.json}}|\"10s\"|" \
        -e "s|{{limits.memory_mb}}|$5|" -e "s|{{limits.fd_limit}}|$6|" \
        -e "s|{{limits.link_mbps}}|$7|" -e "s|{{limits.cpu_share}}|0.2|" \
        -e "s|{{bounds.grace.json}}|\"6s\"|" \
        -e "s|{{bounds.config_apply.json}}|\"4000ms\"|" \
        -e "s|{{bounds.drain.json}}|\"4000ms\"|" \
        -e '/{{#bounds/d' -e '/{{bounds.quota/d' \
        -e "s|{{bootstrap.json}}|true|" \
        "$repository/deploy/settings.template" >"$scratch/$1.json"
    grep -q '{{' "$scratch/$1.json" && not_run "settings are not filled in"
}

# Starts an entry with the command of the deploy file. usage: start_entry NODE
start_entry() {
    local command
    command=$(sed -n 's/^run = "\(.*\)"/\1/p' "$repository/deploy/system.toml")
    [ -x "$repository/$command" ] || not_run "$command is not built"
    (cd "$repository" && ulimit -n "${fd_limit:-4100}" &&
        GODWITRIDGE_NODE_FILE=$scratch/$1.json exec "./$command") \
        >"$scratch/$1.log" 2>&1 &
    entry_pid="$entry_pid $!"
}
