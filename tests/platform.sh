#!/bin/bash
# The program as the platform starts it: readiness, signals, exit codes. $1: heronworks.
set -u
program=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fail() { echo "FAILED: $1"; cat "$dir/log" 2>/dev/null; exit 1; }

# A configuration that can't be used: one line with the field, exit code 2.
echo '{"name":"n0","listen":"127.0.0.1:1","discovery":"here"}' > "$dir/config.json"
LB_CONFIG=$dir/config.json "$program" platform 2> "$dir/log"
[ $? -eq 2 ] || fail "exit code of a bad configuration"
[ "$(wc -l < "$dir/log")" -eq 1 ] || fail "one line of a bad configuration"
grep -q "bad field 'discovery'" "$dir/log" || fail "field of a bad configuration"
env -u LB_CONFIG "$program" platform 2> "$dir/log"
[ $? -eq 2 ] || fail "exit code without a configuration"

# A port that is free now; another try if somebody takes it meanwhile.
write() {
  cat > "$dir/new" <<JSON
{"name":"n0","listen":"127.0.0.1:$port","discovery":"127.0.0.1:1","seed":"1f","limits":{"sockets":128},
 "known":{"generation":1,"reset":true,"instances":[]},
 "settings":{"index":0,"balancers":1,"discovery":"on_request","policies":[],"allowed":{"attempts-cap":2},
  "request-classes":[{"name":"r","aim":200000,"give-up":400000,"effect":"safe"}]$1}}
JSON
  mv "$dir/new" "$dir/config.json"
}
healthz() {
  exec 3<> "/dev/tcp/127.0.0.1/$port" || return 1
  printf 'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
  timeout 10 cat <&3 | head -1
  exec 3>&-
}
for try in 1 2 3 4 5; do
  port=$((20000 + RANDOM % 20000))
  write ""
  LB_CONFIG=$dir/config.json "$program" platform 2> "$dir/log" &
  pid=$!
  for i in $(seq 100); do
    grep -q '"started"' "$dir/log" && break 2
    kill -0 $pid 2> /dev/null || break
    sleep 0.1
  done
  kill -KILL $pid 2> /dev/null
done
grep -q '"started"' "$dir/log" || fail "no start"
healthz 2> /dev/null | grep -q ' 200 ' || fail "not ready"
echo '{' > "$dir/config.json"
kill -HUP $pid
for i in $(seq 100); do grep -q 'reload.failed' "$dir/log" && break; sleep 0.1; done
grep -q 'reload.failed' "$dir/log" || fail "a bad file at SIGHUP is not said"
write ',"tier":3'
kill -HUP $pid
kill -HUP $pid
for i in $(seq 100); do grep -q 'reload.not_taken' "$dir/log" && break; sleep 0.1; done
grep -q '"field":"settings"' "$dir/log" || fail "a difference that is not taken is not said"
healthz 2> /dev/null | grep -q ' 200 ' || fail "not ready after SIGHUP"
kill -HUP $pid
kill -TERM $pid
wait $pid
[ $? -eq 0 ] || fail "exit code after SIGTERM"
grep -q '"stopped"' "$dir/log" || fail "no end"
echo "platform: start, SIGHUP and SIGTERM as asked"
