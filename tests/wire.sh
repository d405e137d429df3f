#!/bin/bash
# Runs the simulator adapter on valid, unusual and malformed input.
set -euo pipefail
adapter=$1
settings='PROVISION\twho=3\trng-seed=5\tdiscovery=on_request\tnovel=1\trequest-classes.count=1'
settings+='\trequest-classes.0.aim=300000\trequest-classes.0.give-up=2500000\trequest-classes.0.effect=safe'
settings+='\trequest-classes.0.name=r\tallowed.attempts-cap=3\n'
server='SHEET\tlist=0\tmembers=1\nSERVER\tserver=10.0.0.1:80\tcohort=0\tstate=1\nMEMBERSHIP\twho=3\tscope=2\tlist=0\n'
call='CALL\twho=3\thandle=aa\tchunk=9\tleft=100000\tunits=2\tvolume=1\tprofile=r\tslot-no=0\n'
valid="SYNC\tsim-time=1000000\n${settings}${server}NOVEL\twho=3\tx=1\n${call}EOB\n"

expect() {  # name of the check, input, exit code, text within the output
  local out code=0
  out=$(printf "$2" | "$adapter" 2>&1) || code=$?
  if [[ $code != "$3" || $out != *"$4"* ]]; then
    printf 'wire: %s: exit %s, output:\n%s\n' "$1" "$code" "$out"
    exit 1
  fi
}

expect "good" "$valid" 0 $'HAND_OFF\twho=3\thandle=aa\tserver=10.0.0.1:80\ttry-for=100000\n'
# FIRST_BYTE is ignored, and so is a result that arrives twice or after the transaction has been released.
unusual="${valid%EOB*}FIRST_BYTE\twho=3\thandle=aa\ttrial=0\tserver=10.0.0.1:80\telapsed=9\nEOB\n"
response='RESPONSE\twho=3\thandle=aa\telapsed=9\tserver=10.0.0.1:80\ttrial=0\tfinished=1\tresult=1\n'
unusual+="SYNC\tsim-time=1010000\n${response}${response}ABANDONED\twho=3\thandle=aa\n${call/aa/bb}${response}EOB\n"
expect "odd but legal" "$unusual" 0 $'HAND_OFF\twho=3\thandle=bb\tserver=10.0.0.1:80'
expect "empty batch" 'SYNC\tsim-time=1\nEOB\n' 0 'EOR'
expect "no input" '' 0 ''
expect "malformed field" "${valid/left=100000/left=x}" 1 "line 7: CALL: invalid value 'x' in field 'left'"
expect "no finite number" "${valid/left=100000/left=nan}" 1 "line 7: CALL: invalid value 'nan' in field 'left'"
expect "a slot that is none" "${valid/slot-no=0/slot-no=-2}" 1 "line 7: CALL: invalid value '-2' in field 'slot-no'"
expect "a cohort beyond all bounds" "${valid/cohort=0/cohort=2000000000}" 1 "invalid value '2000000000' in field 'cohort'"
expect "cut short" "${valid%EOB*}CALL\twho=3" 1 'input ends without a newline'
expect "ends inside a batch" "${valid%EOB*}" 1 'input ends before EOB'
expect "unknown profile" "${valid/profile=r/profile=q}" 1 "invalid value 'q' in field 'profile'"
