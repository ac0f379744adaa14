#!/bin/bash
# Starts godwitedge and measures the latency that it adds to a request.
# usage: edge.sh BUILD [REQUESTS]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
. standins/lib.sh
. standins/site.sh

gw_begin "$1" hen-viec-small || exit 1
site_write_settings e1
sed -e "s/@ADDRESS@/127.0.0.1:$((gw_base + 100))/" -e 's/@BORN@/1/' \
    -e 's/@SERVICE@/slots/' -e 's/@DOMAIN@/d1/' -e 's/@SLOTS@/8/' \
    -e 's/@STATE@/ready/' -e 's/@SEQ@/1/' deploy/demo/server.json \
    >"$gw_dir/server.json"
site_start_entry e1
"$1"/bench_edge_path "127.0.0.1:$gw_base" "127.0.0.1:$((gw_base + 100))" \
    "127.0.0.1:$(site_port e1 0)" deploy/demo/config.json \
    "$gw_dir/server.json" "${2:-20000}"
