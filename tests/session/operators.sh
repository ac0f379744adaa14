#!/bin/bash
# Changes must be applied exactly once when the answers to table writes are
# lost: the write took effect, but the entry cannot know. Eight operators
# submit 200 concurrent changes at different entries and query the request id
# of every pending change until its outcome is final. The history must then
# contain every accepted change once, and no refused one.
# usage: operators.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh

operators=8
each=25

# Submits a change of varying kind; every fifth is based on an outdated
# version.
change() { # OPERATOR K
    local name=${gw_entries[$((($1 * 5 + $2) % ${#gw_entries[@]}))]}
    local from=${gw_regions[$(($2 % 3))]} to=${gw_regions[$((($2 + 1) % 3))]}
    local id=op$1-$2 base=() line
    [ $(($2 % 5)) -ne 0 ] || base=(--base 1)
    case $(($2 % 3)) in
    0) line="shift $service $from $to --cap $(($1 + $2))" ;;
    1) line="link $from $to --cap $((40 + $1))" ;;
    *) line="warmup $((1 + $2))" ;;
    esac
    # shellcheck disable=SC2086
    gw_ctl "$name" --operator "op$1" --request-id "$id" "${base[@]}" $line
}

# Succeeds when the operation has a final outcome; `told` is the exit code.
is_final() { # OPERATOR ID
    told=0
    gw_ctl "${gw_entries[$1]}" operation "$2" >/dev/null 2>&1 || told=$?
    [ "$told" -le 1 ]
}

operate() { # OPERATOR
    local k told
    for ((k = 1; k <= each; k++)); do
        told=0
        change "$1" "$k" >>"$gw_dir/op$1.log" 2>&1 || told=$?
        if [ "$told" -gt 2 ]; then
            echo "op$1-$k" >>"$gw_dir/asked-$1"
            gw_await 60 is_final "$1" "op$1-$k"
        fi
        echo "op$1-$k $told" >>"$gw_dir/told-$1"
    done
}

# Prints the history below a version, newest first.
read_history() {
    local before=$1 page
    while [ "$before" -gt 1 ]; do
        page=$(gw_ctl "${gw_entries[0]}" history --limit 100 \
            --before "$before") || return 1
        printf '%s\n' "$page"
        before=$(tail -n 1 <<<"$page" | cut -d ' ' -f 1)
    done
}

told_of() { # EXIT CODE: prints the ids of operations that ended with it
    cat "$gw_dir"/told-* | awk -v want="$1" '$2 == want {print $1}' | sort
}

gw_begin "${1:?usage: operators.sh BUILD}" hen-viec-small || exit 2
gw_system || exit 1
service=$(gw_first_service)
first=$(gw_head)
gw_fault '"mode": "lost", "share_percent": 50, "for_ms": 600000' || exit 1
pids=()
for ((n = 0; n < operators; n++)); do
    operate "$n" &
    pids+=($!)
done
wait "${pids[@]}"
gw_fault '"mode": "none"' || exit 1

told_of 0 >"$gw_dir/accepted"
told_of 1 >"$gw_dir/refused"
total=$(cat "$gw_dir"/told-* | wc -l)
final=$(cat "$gw_dir/accepted" "$gw_dir/refused" | wc -l)
gw_say "$total changes: $(wc -l <"$gw_dir/accepted") accepted," \
    "$(wc -l <"$gw_dir/refused") refused, of these" \
    "$(cat "$gw_dir"/asked-* 2>/dev/null | wc -l) only after a query"
[ "$total" -eq $((operators * each)) ] && [ "$final" -eq "$total" ] ||
    gw_fail "not every change has a final outcome" || exit 1
head=$(gw_head)
read_history $((head + 1)) >"$gw_dir/history" || exit 1
awk '$4 ~ /^op/ {print $4}' "$gw_dir/history" | sort >"$gw_dir/in-history"
diff "$gw_dir/accepted" "$gw_dir/in-history" ||
    gw_fail "the history differs from the reported outcomes" || exit 1
[ "$head" -eq $((first + $(wc -l <"$gw_dir/accepted"))) ] ||
    gw_fail "version $head for $(wc -l <"$gw_dir/accepted") changes" || exit 1
while read -r id told; do
    is_final 0 "$id"
    now=$?
    rc=0
    gw_ctl "${gw_entries[3]}" operation "$id" >/dev/null 2>&1 || rc=$?
    [ "$now" -eq 0 ] && [ "$rc" -eq "$told" ] ||
        gw_fail "$id: exit $told at first, later $rc" || exit 1
done < <(cat "$gw_dir"/told-*)
gw_await 60 gw_all_at "$head" ||
    gw_fail "an entry is not at version $head" || exit 1
