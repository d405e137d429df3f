#!/bin/bash
# Guards against periods that are exported twice, altered or not at all, while sender and receiver are killed
# at random points and the receiver loses, repeats and delays its answers.
# Arguments: lab program, heronworks, a day with ledgers, number of seeds.
set -u
lab=$1 program=$2 day=$3 seeds=$4
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
receiver_loop=0
"$lab" day "$day" --quiet --lead 3 --folder "$directory/day" > "$directory/out" 2>&1 || { cat "$directory/out"; exit 1; }
ledger=$directory/day/ledger-0
port=$((12000 + $$ % 17000))
killed_senders=0
crashed_receivers=0
touch "$directory/running"
for seed in $(seq 1 "$seeds"); do
  rm -rf "$ledger/desk" "$directory/got"
  : > "$directory/crashes"
  (  # restarts the receiver whenever it dies; from the 30th start on it no longer crashes
    starts=0
    while [ -e "$directory/running" ] && [ "$(cat "$directory/seed" 2>/dev/null || echo "$seed")" = "$seed" ]; do
      starts=$((starts + 1))
      "$lab" receiver --port $((port + seed)) --folder "$directory/got" --seed $((seed * 100 + starts)) --lose 0.08 --twice 0.1 \
        --late 0.03 --crash "$([ $starts -lt 30 ] && echo 0.04 || echo 0)" 2>/dev/null &
      echo $! > "$directory/pid"
      wait $!
      [ $? -eq 9 ] && echo x >> "$directory/crashes"
      sleep 0.01
    done
  ) 2>/dev/null &
  receiver_loop=$!
  export_code=1
  for attempt in $(seq 1 40); do
    "$program" ledger export "$ledger" --to 127.0.0.1:$((port + seed)) --patience 5 > "$directory/export" 2>&1 &
    sender=$!
    if [ "$attempt" -lt 12 ]; then  # killed at some point during the export
      sleep 0.0$(printf %02d $(((seed * 7 + attempt * 13) % 25)))
      kill -9 $sender 2>/dev/null && killed_senders=$((killed_senders + 1))
    fi
    wait $sender 2>/dev/null
    export_code=$?
    [ $export_code -eq 0 ] && break
  done
  crashed_receivers=$((crashed_receivers + $(wc -l < "$directory/crashes")))
  echo $((seed + 1)) > "$directory/seed"
  while kill -0 $receiver_loop 2>/dev/null; do
    kill -9 "$(cat "$directory/pid")" 2>/dev/null
    sleep 0.02
  done
  wait $receiver_loop 2>/dev/null
  [ $export_code -eq 0 ] || { echo "seed $seed: never sent"; cat "$directory/export"; exit 1; }
  "$program" ledger status "$ledger" > "$directory/status"
  closed_periods=$(awk '$1 ~ /^[0-9]+$/ && $2 != "runs,"' "$directory/status" | wc -l)
  if grep -q "not finished" "$directory/status"; then echo "seed $seed: an intent without a commit"; cat "$directory/status"; exit 1; fi
  rm -f "$directory"/got/*.new
  [ "$(ls "$directory/got" | wc -l)" -eq "$closed_periods" ] || { echo "seed $seed: $closed_periods closed, and received:"; ls "$directory/got"; exit 1; }
  # Each file name ends with a digest of 32 zero bytes and the contents, and every seed yields the same files.
  for file in "$directory"/got/*; do
    [ "$( (head -c 32 /dev/zero; cat "$file") | sha256sum | cut -c1-16)" = "${file##*-}" ] || { echo "other bytes: $file"; exit 1; }
  done
  [ "$seed" -eq 1 ] && cp -r "$directory/got" "$directory/first"
  diff -r "$directory/first" "$directory/got" || exit 1
done
echo "$seeds seeds: $killed_senders senders and $crashed_receivers receivers died; each of $closed_periods periods received once and the same"
