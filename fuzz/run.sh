#!/bin/bash
# Builds every fuzz target with libFuzzer and runs each with a fixed seed for a
# number of inputs. Fails if a target has a finding.
# usage: run.sh RUNS
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
runs=${1:-20000}
out=build-fuzz
mkdir -p "$out"
pkgs=(glib-2.0 json-c libprotobuf-c libcurl popt log4c libxxhash liburcu
      liburcu-memb libzstd)
read -ra cflags < <(pkg-config --cflags "${pkgs[@]}")
read -ra libs < <(pkg-config --libs "${pkgs[@]}")
san=-fsanitize=fuzzer,address,undefined
failed=0

# Sources that are linked to every target. The linker drops sections that a
# target does not use, so that the daemon's dependencies are not needed.
mapfile -t sources < <(ls lib/common/*.c lib/wire/*.c lib/platform/*.c \
    lib/config/*.c lib/blocks/*.c lib/entry/tickets.c \
    lib/http/address.c lib/http/budget.c lib/http/message.c lib/http/parser.c lib/route/*.c lib/store/*.c \
    lib/admin/explain*.c \
    platform/*.c 2>/dev/null)

for target in fuzz/fuzz_*.c; do
    name=$(basename "$target" .c)
    if ! clang -std=gnu11 -D_GNU_SOURCE -g -O1 $san \
        -fno-sanitize-recover=undefined -ffunction-sections \
        -Wl,--gc-sections -I. -Ilib -Itests "${cflags[@]}" -o "$out/$name" \
        "$target" "${sources[@]}" "${libs[@]}" -lhttp_parser -lm -pthread; then
        echo "FAIL  $name: build failed"
        failed=1
        continue
    fi
    # The corpus has inputs of earlier findings or with valid checksums.
    # libFuzzer adds new inputs to the first folder, which is temporary.
    rm -rf "$out/new-$name"
    mkdir -p "$out/new-$name"
    seeds=("$out/new-$name")
    [ -d "fuzz/corpus/$name" ] && seeds+=("fuzz/corpus/$name")
    if "$out/$name" -seed=1 -runs="$runs" -max_len=4096 \
        -artifact_prefix="$out/$name-" "${seeds[@]}" >"$out/$name.log" 2>&1; then
        echo "ok    $name: $runs runs"
    else
        echo "FAIL  $name"
        tail -30 "$out/$name.log"
        failed=1
    fi
done
exit "$failed"
