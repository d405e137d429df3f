#!/bin/bash
# A period is exported once, through a receiver and a sender that are killed at random places, lose answers, answer
# twice and late. Arguments: lab program, heronworks, a day with ledgers, how many seeds.
set -u
lab=$1 program=$2 day=$3 seeds=$4
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
receiver=0
"$lab" day "$day" --quiet --lead 3 --folder "$folder/day" > "$folder/out" 2>&1 || { cat "$folder/out"; exit 1; }
ledger=$folder/day/ledger-0
port=$((12000 + $$ % 17000))
kills=0
crashes=0
touch "$folder/on"
for seed in $(seq 1 "$seeds"); do
  rm -rf "$ledger/desk" "$folder/got"
  : > "$folder/crashes"
  (  # the receiver, and again whenever it dies; sound from its 30th life on
    life=0
    while [ -e "$folder/on" ] && [ "$(cat "$folder/seed" 2>/dev/null || echo "$seed")" = "$seed" ]; do
      life=$((life + 1))
      "$lab" receiver --port $((port + seed)) --folder "$folder/got" --seed $((seed * 100 + life)) --lose 0.08 --twice 0.1 \
        --late 0.03 --crash "$([ $life -lt 30 ] && echo 0.04 || echo 0)" 2>/dev/null &
      echo $! > "$folder/pid"
      wait $!
      [ $? -eq 9 ] && echo x >> "$folder/crashes"
      sleep 0.01
    done
  ) 2>/dev/null &
  receiver=$!
  sent=1
  for try in $(seq 1 40); do
    "$program" ledger export "$ledger" --to 127.0.0.1:$((port + seed)) --patience 5 > "$folder/export" 2>&1 &
    sender=$!
    if [ "$try" -lt 12 ]; then  # killed at some point of its way
      sleep 0.0$(printf %02d $(((seed * 7 + try * 13) % 25)))
      kill -9 $sender 2>/dev/null && kills=$((kills + 1))
    fi
    wait $sender 2>/dev/null
    sent=$?
    [ $sent -eq 0 ] && break
  done
  crashes=$((crashes + $(wc -l < "$folder/crashes")))
  echo $((seed + 1)) > "$folder/seed"
  while kill -0 $receiver 2>/dev/null; do
    kill -9 "$(cat "$folder/pid")" 2>/dev/null
    sleep 0.02
  done
  wait $receiver 2>/dev/null
  [ $sent -eq 0 ] || { echo "seed $seed: never sent"; cat "$folder/export"; exit 1; }
  "$program" ledger status "$ledger" > "$folder/status"
  closed=$(awk '$1 ~ /^[0-9]+$/ && $2 != "runs,"' "$folder/status" | wc -l)
  if grep -q "not finished" "$folder/status"; then echo "seed $seed: an intent without a commit"; cat "$folder/status"; exit 1; fi
  rm -f "$folder"/got/*.new
  [ "$(ls "$folder/got" | wc -l)" -eq "$closed" ] || { echo "seed $seed: $closed closed, and received:"; ls "$folder/got"; exit 1; }
  # Each file holds the bytes that its name's digest is of, and the same every time.
  for f in "$folder"/got/*; do
    [ "$( (head -c 32 /dev/zero; cat "$f") | sha256sum | cut -c1-16)" = "${f##*-}" ] || { echo "other bytes: $f"; exit 1; }
  done
  [ "$seed" -eq 1 ] && cp -r "$folder/got" "$folder/first"
  diff -r "$folder/first" "$folder/got" || exit 1
done
echo "$seeds seeds: $kills senders and $crashes receivers died; each of $closed periods received once and the same"
