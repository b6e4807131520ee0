#!/bin/bash
# Runs small plans with real processes, and checks the exit status, the report or error, and that no
# process is left running.
# Arguments: path of sailreel-scale, directory of the plans, name of the case.
set -euo pipefail
scale=$1
plans=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

fail() {
  echo "FAILED: $1"
  exit 1
}
# Prints the number in a top-level field of the JSON report.
field() { sed -n "s/^ \"$1\": \([0-9.]*\),*$/\1/p" "$work/report.json" | head -n 1; }
above() { awk -v a="$1" -v b="$2" 'BEGIN { exit !(a + 0 > b + 0) }'; }
no_process_left() {
  ! pgrep -f -- "--config $work/run" > /dev/null || fail "controllers are still running"
  ! pgrep -f -- "--directory $work/run" > /dev/null || fail "regions' processes are still running"
}

runs_to_completion() {
  "$scale" --plan "$plans/small.textproto" --report "$work/report.json" --directory "$work/run" \
    > "$work/table" || { cat "$work/table"; fail "the run didn't exit with status 0"; }
  cat "$work/table"
  [ "$(field rules_broken)" = 0 ] || fail "rules are broken"
  [ "$(field workers)" = 1000 ] || fail "not all workers were up"
  above "$(field tasks_running_peak)" 3000 || fail "too few tasks ran at once"
  above "$(field starts)" 4000 || fail "too few starts"
  [ "$(field processes)" -le 300 ] || fail "too many processes"
  above "$(field memory_peak_mb)" 0 || fail "no memory was measured"
  no_process_left
}

refuses_bad_plans() {
  local name status
  sed 's/workers: 500/workers: 0/' "$plans/small.textproto" > "$work/no-worker"
  sed 's/region: "north"/region: "nowhere"/' "$plans/small.textproto" > "$work/no-region"
  sed 's/workers: 500/workers: 40000000/' "$plans/small.textproto" > "$work/too-large"
  sed 's/controllers: 3/controllers: 150/' "$plans/small.textproto" > "$work/many-controllers"
  echo 'gibberish' > "$work/gibberish"
  for name in no-worker no-region too-large many-controllers gibberish missing; do
    status=0
    "$scale" --plan "$work/$name" > "$work/out" 2> "$work/err" || status=$?
    [ "$status" = 2 ] || fail "$name: exit status $status"
    [ "$(wc -l < "$work/err")" = 1 ] || fail "$name: the error isn't one line"
  done
}

# Each task needs more CPUs than a machine has, so that no task starts. Such a run must count as failed.
fails_without_a_start() {
  sed -e 's/task_cpus: 8/task_cpus: 1000/' -e 's/^seconds: .*/seconds: 8/' -e '/^fault/d' \
    "$plans/small.textproto" > "$work/plan"
  local status=0
  "$scale" --plan "$work/plan" --report "$work/report.json" --directory "$work/run" \
    > "$work/table" || status=$?
  [ "$status" = 1 ] || fail "exit status $status"
  grep -q nothing_ran "$work/table" || fail "the table doesn't name nothing_ran"
}

leaves_no_process_when_terminated() { leaves_no_process_after TERM; }
leaves_no_process_when_killed() { leaves_no_process_after KILL; }

leaves_no_process_after() {
  "$scale" --plan "$plans/small.textproto" --directory "$work/run" > "$work/table" &
  local pid=$! status=0
  for _ in $(seq 100); do
    [ "$(pgrep -fc -- "--config $work/run" || true)" = 6 ] && break
    sleep 0.1
  done
  [ "$(pgrep -fc -- "--config $work/run" || true)" = 6 ] || fail "the controllers didn't start"
  kill "-$1" "$pid"
  wait "$pid" || status=$?
  [ "$status" != 0 ] || fail "an interrupted run exited with status 0"
  for _ in $(seq 50); do
    pgrep -f -- "$work/run" > /dev/null || break
    sleep 0.1
  done
  no_process_left
}

"$3"
