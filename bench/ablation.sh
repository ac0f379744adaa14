#!/bin/bash
# Ablation study: disables each mechanism of bench/mechanisms.txt in a copy of
# the sources and runs bench_policies. NUMBER: line of the table; 0: unchanged
# sources. With --keep, only writes the copies to DIR/NUMBER.
# usage: ablation.sh [--keep DIR] [NUMBER...]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
keep=
[ "${1:-}" = --keep ] && keep=$2 && shift 2
work=${keep:-$(mktemp -d)}
[ -n "$keep" ] || trap 'rm -rf "$work"' EXIT

mapfile -t table < <(grep -v '^#' bench/mechanisms.txt)

# Copies the sources to a folder and disables the mechanism of a line there.
disable_mechanism() { # LINE DIR
    mkdir -p "$2"
    cp -r Makefile bench deploy lib platform programs proto standins tests "$2"
    python3 - "$1" "$2" <<'PY'
import sys

name, path, old, new = [
    part.replace("\\n", "\n") for part in sys.argv[1].split("\t")
]
path = sys.argv[2] + "/" + path
text = open(path).read()
if old not in text:
    sys.exit(f"{name}: not found in {path}")
open(path, "w").write(text.replace(old, new, 1))
PY
}

build_and_run() { # NAME DIR
    if ! make -s -C "$2" -j6 CFLAGS=-O2 O=build build/bench_policies \
        >"$2/log" 2>&1; then
        printf '%-32s build failed: %s\n' "$1" "$(tail -1 "$2/log")"
        return 1
    fi
    printf '%-32s %s\n' "$1" "$("$2"/build/bench_policies | tail -1)"
}

numbers=("$@")
[ ${#numbers[@]} -gt 0 ] || mapfile -t numbers < <(seq 0 ${#table[@]})
rc=0
for i in "${numbers[@]}"; do
    if [ "$i" -eq 0 ]; then
        mkdir -p "$work/0"
        cp -r Makefile bench deploy lib platform programs proto standins \
            tests "$work/0"
        build_and_run "unchanged" "$work/0" || rc=1
        continue
    fi
    line=${table[$((i - 1))]}
    disable_mechanism "$line" "$work/$i" || { rc=1; continue; }
    [ -n "$keep" ] && continue
    build_and_run "${line%%$'\t'*}" "$work/$i" || rc=1
    rm -rf "${work:?}/$i"
done
exit "$rc"
