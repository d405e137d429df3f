#!/bin/bash
# All measurements of docs/results.md that concern speed and size. Ratios within one run count; the machine is shared.
set -eu
cd "$1"
./bench-decision --benchmark_min_time=0.2 --benchmark_counters_tabular=true 2>/dev/null
./bench-wire
./bench-ledger 200000
./bench-tenants
./bench-connections
./bench-platform ./heronworks
