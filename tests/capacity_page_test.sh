#!/bin/bash
# Checks that the tables in docs/CAPACITY.md are the output of sailreel-capacity, that the output changes
# with the plan, and that the error for a missing slope names it.
# Arguments: path of sailreel-capacity, root of the project.
set -euo pipefail
program=$1
root=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
plan=$root/deploy/scale/two-years.textproto
measured=$root/deploy/scale/measured.textproto

"$program" --plan "$plan" --measured "$measured" > "$work/tables"
sed -n '/^<!-- reckoned -->$/,/^<!-- end -->$/p' "$root/docs/CAPACITY.md" | sed '1d;$d' > "$work/page"
diff "$work/page" "$work/tables" || { echo "FAILED: docs/CAPACITY.md differs from the output of sailreel-capacity"; exit 1; }

sed 's/workers: 1600/workers: 3200/' "$plan" > "$work/larger"
"$program" --plan "$work/larger" --measured "$measured" > "$work/other"
grep -q 'A mean region: 3200 workers' "$work/other" || { echo "FAILED: the tables don't follow the plan"; exit 1; }

sed 's/leader_cores_per_start/renamed/' "$measured" > "$work/incomplete"
status=0
"$program" --plan "$plan" --measured "$work/incomplete" > /dev/null 2> "$work/err" || status=$?
[ "$status" = 2 ] || { echo "FAILED: exit status $status for a missing slope"; exit 1; }
grep -q leader_cores_per_start "$work/err" || { echo "FAILED: the error doesn't name the missing slope"; exit 1; }
