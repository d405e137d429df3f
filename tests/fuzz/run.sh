#!/bin/bash
# Builds the fuzz targets with clang and libFuzzer and runs each of them.
# Usage: run.sh [SECONDS]    per target, 60 by default
set -eu
cd "$(dirname "$0")/../.."
out=build/fuzz
seconds="${1:-60}"
mkdir -p "$out/pdu" "$out/expr" "$out/http"
flags="-std=c++20 -O1 -g -Isrc -fsanitize=fuzzer,address,undefined"
clang++ $flags -DFUZZ_PDU tests/fuzz/fuzz.cpp src/nvme/pdu.cpp -lisal -o "$out/fuzz-pdu"
clang++ $flags -DFUZZ_HTTP tests/fuzz/fuzz.cpp src/http/reader.cpp -o "$out/fuzz-http"
clang++ $flags tests/fuzz/fuzz.cpp src/expr/{schema,syntax,network_set,compile,machine,suggest}.cpp -lre2 -o "$out/fuzz-expr"
grep -v '^#' tests/expr/hostile.txt | sed 's/.* || //' | split -l 1 - "$out/expr/seed-"
"$out/fuzz-pdu" -max_total_time="$seconds" -max_len=1024 "$out/pdu"
"$out/fuzz-expr" -max_total_time="$seconds" -max_len=512 "$out/expr"
"$out/fuzz-http" -max_total_time="$seconds" -max_len=1024 "$out/http"
