#!/bin/bash
# Switches each mechanism of bench/mechanisms.txt off in a copy of the sources
# and plays bench_policies. With a folder, the copies are left there, one a
# mechanism, to be played elsewhere.
# usage: ablation.sh [--keep DIR] [NUMBER...]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
keep=
[ "${1:-}" = --keep ] && keep=$2 && shift 2
work=${keep:-$(mktemp -d)}
[ -n "$keep" ] || trap 'rm -rf "$work"' EXIT

mapfile -t table < <(grep -v '^#' bench/mechanisms.txt)

# Writes the sources with that line's mechanism switched off to a folder.
switch_off() { # LINE DIR
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

play() { # NAME DIR
    if ! make -s -C "$2" -j6 CFLAGS=-O2 O=build build/bench_policies \
        >"$2/log" 2>&1; then
        printf '%-32s does not build: %s\n' "$1" "$(tail -1 "$2/log")"
        return 1
    fi
    printf '%-32s %s\n' "$1" "$("$2"/build/bench_policies | tail -1)"
}

wanted=("$@")
[ ${#wanted[@]} -gt 0 ] || mapfile -t wanted < <(seq 0 ${#table[@]})
rc=0
for i in "${wanted[@]}"; do
    if [ "$i" -eq 0 ]; then
        mkdir -p "$work/0"
        cp -r Makefile bench deploy lib platform programs proto standins \
            tests "$work/0"
        play "as it is" "$work/0" || rc=1
        continue
    fi
    line=${table[$((i - 1))]}
    switch_off "$line" "$work/$i" || { rc=1; continue; }
    [ -n "$keep" ] && continue
    play "${line%%$'\t'*}" "$work/$i" || rc=1
    rm -rf "${work:?}/$i"
done
exit "$rc"
