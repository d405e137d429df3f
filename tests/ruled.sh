#!/bin/bash
# Runs a day with faults on which rules assign profiles and keys, and meanwhile loads a corpus of invalid
# rules repeatedly; each load must fail. Then runs the day without giving the schedulers the rules, which must
# break the order of keys or repeat effects: which of the two happens depends on the machine's load.
# Arguments: lab program, heronworks, day, corpus of invalid rules.
set -u
lab=$1 program=$2 day=$3 corpus=$4
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
# Converts the corpus, with lines of the form "reason || expression", to a file of rules.
awk -v q="'''" '!/^#/ && index($0, " || ") { print "[[rule]]"; print "when = " q substr($0, index($0, " || ") + 4) q }' \
  "$corpus" > "$directory/hostile.toml"
"$lab" day "$day" --quiet --lead 3 > "$directory/out" 2>&1 &
lab_pid=$!
loads=0
while kill -0 $lab_pid 2>/dev/null; do
  "$program" expr check "$directory/hostile.toml" > "$directory/check" 2>&1
  [ $? -eq 2 ] || { echo "the hostile corpus was taken"; cat "$directory/check"; kill $lab_pid; exit 1; }
  loads=$((loads + 1))
  sleep 0.02
done
wait $lab_pid
code=$?
cat "$directory/out"
echo "the hostile corpus was refused $loads times beside it, with $(grep -c '\.toml:' "$directory/check") complaints each"
[ $code -eq 0 ] || exit 1
[ "$(grep -c '\.toml:' "$directory/check")" -ge 150 ] || { tail -5 "$directory/check"; exit 1; }
out=$("$lab" day "$day" --quiet --lead 3 --withhold-rules 2>&1)
code=$?
echo "$out"
[ $code -eq 1 ] && echo "$out" | grep -Eq "^(order kept|no effect twice) +[0-9]+ +BROKEN" || { echo "rules withheld, and not found out"; exit 1; }
