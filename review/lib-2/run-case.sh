#!/bin/bash
# Runs the case of a folder: run-case.sh FOLDER. The exit code is that of the case.
set -u
cd "$(dirname "$0")/../.."
folder=$1
program=build/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x build/heronworks ] || { echo "not built: $program or build/heronworks"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 115 "$program" "$temporary" "$folder/record.txt" &
child=$!
trap 'kill -TERM $child 2> /dev/null' TERM INT  # the scheduler ends with the program
wait $child
code=$?
wait $child 2> /dev/null
[ $code -eq 0 ] || [ $code -eq 1 ] || code=2
exit $code
