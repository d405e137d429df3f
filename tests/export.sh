#!/bin/bash
# A period is exported once, through a receiver and a sender that are killed at random places, lose answers, answer
# twice and late. Arguments: lab program, heronworks, a day with ledgers, how many seeds.
set -u
lab=$1 program=$2 day=$3 seeds=$4
folder=$(mktemp -d)
trap 'rm -rf "$folder"; kill $receiver 2>/dev/null' EXIT
receiver=0
"$lab" day "$day" --quiet --lead 3 --folder "$folder/day" > "$folder/out" 2>&1 || { cat "$folder/out"; exit 1; }
ledger=$folder/day/ledger-0
port=$((12000 + $$ % 18000))
kills=0
for seed in $(seq 1 "$seeds"); do
  rm -rf "$ledger/desk" "$folder/got"
  sent=1
  for try in $(seq 1 60); do
    if ! kill -0 $receiver 2>/dev/null; then  # it died, and is started again
      "$lab" receiver --port $port --folder "$folder/got" --seed $((seed * 100 + try)) --lose 0.1 --twice 0.1 --late 0.05 \
        --crash "$([ "$try" -lt 40 ] && echo 0.04 || echo 0)" 2>/dev/null &
      receiver=$!
      sleep 0.05
    fi
    "$program" ledger export "$ledger" --to 127.0.0.1:$port --patience 3 > "$folder/export" 2>&1 &
    sender=$!
    if [ $((try % 2)) -eq 1 ] && [ "$try" -lt 20 ]; then  # killed at some point of its way
      sleep 0.0$(((seed * 7 + try * 13) % 9))
      kill -9 $sender 2>/dev/null && kills=$((kills + 1))
    fi
    wait $sender 2>/dev/null
    sent=$?
    [ $sent -eq 0 ] && break
  done
  [ $sent -eq 0 ] || { echo "seed $seed: never sent"; cat "$folder/export"; exit 1; }
  "$program" ledger status "$ledger" > "$folder/status"
  closed=$(awk '$1 ~ /^[0-9]+$/ && $2 != "runs,"' "$folder/status" | wc -l)
  if grep -q "not finished" "$folder/status"; then echo "seed $seed: an intent without a commit"; cat "$folder/status"; exit 1; fi
  [ "$(ls "$folder/got" | grep -vc '\.new$')" -eq "$closed" ] || { echo "seed $seed: $closed closed, and received:"; ls "$folder/got"; exit 1; }
  # What was received is what the ledger holds, byte for byte.
  if [ "$seed" -eq 1 ]; then
    cp -r "$folder/got" "$folder/first"
  else
    rm -f "$folder"/got/*.new
    diff -r "$folder/first" "$folder/got" || exit 1
  fi
  rm -f "$folder"/first/*.new
done
echo "$seeds seeds, $kills senders killed, each of $closed periods received once and the same"
