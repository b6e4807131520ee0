#!/bin/bash
# The tables of docs/CAPACITY.md are what the program reckons from the plan and the measurements;
# another plan gives others; a measurement that is missing is said.
# Arguments: the program, the root of the project.
set -euo pipefail
program=$1
root=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
plan=$root/deploy/scale/two-years.textproto
measured=$root/deploy/scale/measured.textproto

"$program" --plan "$plan" --measured "$measured" > "$work/tables"
sed -n '/^<!-- reckoned -->$/,/^<!-- end -->$/p' "$root/docs/CAPACITY.md" | sed '1d;$d' > "$work/page"
diff "$work/page" "$work/tables" || { echo "FAILED: the page isn't what the program prints"; exit 1; }

sed 's/workers: 1600/workers: 3200/' "$plan" > "$work/larger"
"$program" --plan "$work/larger" --measured "$measured" > "$work/other"
grep -q 'A mean region: 3200 workers' "$work/other" || { echo "FAILED: another plan"; exit 1; }

sed 's/leader_cores_per_start/renamed/' "$measured" > "$work/incomplete"
status=0
"$program" --plan "$plan" --measured "$work/incomplete" > /dev/null 2> "$work/err" || status=$?
[ "$status" = 2 ] || { echo "FAILED: exit status $status without a slope"; exit 1; }
grep -q leader_cores_per_start "$work/err" || { echo "FAILED: the slope isn't named"; exit 1; }
