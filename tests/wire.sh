#!/bin/bash
# The adapter on good, odd and broken input.
set -euo pipefail
drill=$1
settings='PROVISION\twho=3\trng-seed=5\tdiscovery=on_request\tnovel=1\trequest-classes.count=1'
settings+='\trequest-classes.0.aim=300000\trequest-classes.0.give-up=2500000\trequest-classes.0.effect=safe'
settings+='\trequest-classes.0.name=r\tallowed.attempts-cap=3\n'
server='SHEET\tlist=0\tmembers=1\nSERVER\tserver=10.0.0.1:80\tcohort=0\tstate=1\nMEMBERSHIP\twho=3\tscope=2\tlist=0\n'
call='CALL\twho=3\thandle=aa\tchunk=9\tleft=100000\tunits=2\tvolume=1\tprofile=r\tslot-no=0\n'
good="SYNC\tsim-time=1000000\n${settings}${server}NOVEL\twho=3\tx=1\n${call}EOB\n"

expect() {  # what, input, exit code, text in output
  local out code=0
  out=$(printf "$2" | "$drill" 2>&1) || code=$?
  if [[ $code != "$3" || $out != *"$4"* ]]; then
    printf 'wire: %s: exit %s, output:\n%s\n' "$1" "$code" "$out"
    exit 1
  fi
}

expect "good" "$good" 0 $'HAND_OFF\twho=3\thandle=aa\tserver=10.0.0.1:80\ttry-for=100000\n'
# A begun stream is passed over; an outcome that comes twice, or once more after the end, changes nothing.
odd="${good%EOB*}FIRST_BYTE\twho=3\thandle=aa\ttrial=0\tserver=10.0.0.1:80\telapsed=9\nEOB\n"
answer='RESPONSE\twho=3\thandle=aa\telapsed=9\tserver=10.0.0.1:80\ttrial=0\tfinished=1\tresult=1\n'
odd+="SYNC\tsim-time=1010000\n${answer}${answer}ABANDONED\twho=3\thandle=aa\n${call/aa/bb}${answer}EOB\n"
expect "odd but legal" "$odd" 0 $'HAND_OFF\twho=3\thandle=bb\tserver=10.0.0.1:80'
expect "empty batch" 'SYNC\tsim-time=1\nEOB\n' 0 'EOR'
expect "no input" '' 0 ''
expect "malformed field" "${good/left=100000/left=x}" 1 "line 7: CALL: bad field 'left'"
expect "no finite number" "${good/left=100000/left=nan}" 1 "line 7: CALL: bad field 'left'"
expect "a slot that is none" "${good/slot-no=0/slot-no=-2}" 1 "line 7: CALL: bad field 'slot-no'"
expect "a cohort beyond all bounds" "${good/cohort=0/cohort=2000000000}" 1 "bad field 'cohort'"
expect "cut short" "${good%EOB*}CALL\twho=3" 1 'cut short'
expect "ends inside a batch" "${good%EOB*}" 1 'ends inside a batch'
expect "unknown profile" "${good/profile=r/profile=q}" 1 "bad field 'profile'"
