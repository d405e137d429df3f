#!/bin/bash
# Lays the variants of the kit's sites, whole, into deploy/sites/laid/NAME/: the kit's site file with the changes
# of NAME.sed, which are ours, and the files that belong beside it. What it lays stays out of git.
#   deploy/sites/lay.sh          all of them
#   deploy/sites/lay.sh NAME...
set -euo pipefail
cd "$(dirname "$0")"
kit=../../../given/kit/more
declare -A base=([harbour]=node/sites/poznan-lab.toml [quarry]=mass/other/lisboa-scores.toml)
names=("$@")
if [ ${#names[@]} -eq 0 ]; then names=(harbour quarry); fi
for name in "${names[@]}"; do
  site=$kit/${base[$name]}
  to=laid/$name
  mkdir -p "$to"
  sed -E -f "$name.sed" "$site" > "$to/$name.toml"
  for beside in real.json wire.json unlock.txt; do cp -f "$(dirname "$site")/$beside" "$to/"; done
  chmod u+w "$to"/*
  # Each change has to have met its line.
  while read -r line; do
    grep -qF -- "$line" "$to/$name.toml" || { echo "lay.sh: $name: not there: $line" >&2; exit 1; }
  done < <(sed -nE 's/^# has: //p' "$name.sed")
  echo "$to/$name.toml"
done
