#!/bin/bash
# Tests the process as the platform runs it: readiness, signals and exit codes. $1: the heronworks program.
set -u
program=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fail() { echo "FAILED: $1"; cat "$dir/log" 2>/dev/null; exit 1; }

# An invalid configuration is reported in one line that names the field; the exit code is 2.
echo '{"name":"n0","listen":"127.0.0.1:1","discovery":"here"}' > "$dir/config.json"
LB_CONFIG=$dir/config.json "$program" platform 2> "$dir/log"
[ $? -eq 2 ] || fail "exit code for an invalid configuration is not 2"
[ "$(wc -l < "$dir/log")" -eq 1 ] || fail "error for an invalid configuration is not one line"
grep -q "bad field 'discovery'" "$dir/log" || fail "error does not name the invalid field"
env -u LB_CONFIG "$program" platform 2> "$dir/log"
[ $? -eq 2 ] || fail "exit code without a configuration is not 2"

# Writes a configuration that listens on $port. $1: more settings fields.
write_config() {
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
# Tries several random ports, as one may be in use.
for try in 1 2 3 4 5; do
  port=$((20000 + RANDOM % 20000))
  write_config ""
  LB_CONFIG=$dir/config.json "$program" platform 2> "$dir/log" &
  pid=$!
  for i in $(seq 100); do
    grep -q '"started"' "$dir/log" && break 2
    kill -0 $pid 2> /dev/null || break
    sleep 0.1
  done
  kill -KILL $pid 2> /dev/null
done
grep -q '"started"' "$dir/log" || fail "the process did not start"
healthz 2> /dev/null | grep -q ' 200 ' || fail "/healthz does not return 200 after the start"
echo '{' > "$dir/config.json"
kill -HUP $pid
for i in $(seq 100); do grep -q 'reload.failed' "$dir/log" && break; sleep 0.1; done
grep -q 'reload.failed' "$dir/log" || fail "no reload.failed event for an invalid file after SIGHUP"
write_config ',"tier":3'
kill -HUP $pid
kill -HUP $pid
for i in $(seq 100); do grep -q 'reload.not_taken' "$dir/log" && break; sleep 0.1; done
grep -q '"field":"settings"' "$dir/log" || fail "no reload.not_taken event for a changed field"
healthz 2> /dev/null | grep -q ' 200 ' || fail "/healthz does not return 200 after SIGHUP"
kill -HUP $pid
kill -TERM $pid
wait $pid
[ $? -eq 0 ] || fail "exit code after SIGTERM is not 0"
grep -q '"stopped"' "$dir/log" || fail "no stopped event after SIGTERM"
echo "platform: start, SIGHUP and SIGTERM passed"
