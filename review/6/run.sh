#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build-2.sh.
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
program=target/sailreel case_program=target/review-2/case-$number
test -x "$program" && test -x "$case_program" || { echo "not built"; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 2 119 "$case_program" "$program" "$dir" "review/$number/record.txt" "${TROUBLE:-1}"
status=$?
test "$status" -le 2 || status=2
exit "$status"
