#!/bin/bash
# Builds the stand-ins that the scripts start, into review/build/. It needs
# only what deploy/system.toml declares. The scripts start the program that the
# deploy file builds, target/godwitedge.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=$(pkg-config --cflags --libs glib-2.0 json-c)
for source in [1-5]/*.c; do
    name=case-${source%%/*}
    # shellcheck disable=SC2086
    gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Istandin \
        "$source" standin/small.c -o "build/$name" $flags -pthread -lm
    echo "built review/build/$name"
done
