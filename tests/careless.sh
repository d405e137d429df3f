#!/bin/bash
# Guards against a lab whose verdict misses violations: a scheduler that breaks the rules on purpose must
# fail each rule that the simulated day exercises. Arguments: lab program, faulty scheduler, day.
set -u
out=$("$1" day "$3" --scheduler "$2" --quiet --lead 3 2>&1)
code=$?
echo "$out"
[ "$code" -eq 1 ] || { echo "expected exit code 1, got $code"; exit 1; }
# If clients ran too late for the order to be judged, the verdict says so instead of judging that rule.
echo "$out" | grep -q "order is judged beyond that only" && out+=$'\norder kept 0 BROKEN'
for rule in "no effect twice" "drains kept" "order kept" "budget kept" "limits kept"; do
  echo "$out" | grep -Eq "^$rule +[0-9]+ +BROKEN" || { echo "not found out: $rule"; exit 1; }
done
