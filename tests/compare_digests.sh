#!/bin/bash
# Repeats the simulations of tests/fixtures/behaviour_digests.txt and prints the lines that differ.
# Usage: tests/compare_digests.sh BUILD-FOLDER [KIND...]; exit code 1 if any line differs.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1/tests/behaviour_digest
shift
recorded=tests/fixtures/behaviour_digests.txt
kinds=("$@")
if [ "${#kinds[@]}" = 0 ]; then kinds=(plain gangs large federated upgrade); fi

run_simulations() {  # KIND
  local seeds
  seeds=$(sed -n "s/^$1 \([0-9]*\) .*/\1/p" "$recorded")
  "$program" --kind "$1" --first "$(head -n 1 <<< "$seeds")" --count "$(wc -l <<< "$seeds")"
}

status=0
for kind in "${kinds[@]}"; do
  if diff <(grep "^$kind " "$recorded") <(run_simulations "$kind"); then
    echo "$kind: $(grep -c "^$kind " "$recorded") simulations unchanged"
  else
    status=1
  fi
done
exit "$status"
