#!/bin/bash
# The digest of a simulation is the same in two processes and differs between seeds. Wrong usage is
# reported in one line with exit code 2.
set -euo pipefail
program=$1

fail() { echo "FAILED: $*"; exit 1; }

for kind in plain gangs federated; do
  first=$("$program" --kind "$kind" --first 1 --count 2)
  second=$("$program" --kind "$kind" --first 1 --count 2)
  [ "$(wc -l <<< "$first")" = 2 ] || fail "$kind: not one line for each seed: $first"
  [ "$first" = "$second" ] || fail "$kind differs between two processes: $first / $second"
  digests=$(awk '{print $3}' <<< "$first" | sort -u | wc -l)
  [ "$digests" = 2 ] || fail "$kind: two seeds have the same digest: $first"
  grep -q "actions=0 " <<< "$first" && fail "$kind: a simulation without actions: $first"
done

expect_usage_error() {
  local status=0 output
  output=$("$program" "$@" 2>&1) || status=$?
  [ "$status" = 2 ] || fail "exit code $status for $*"
  [ "$(wc -l <<< "$output")" = 1 ] || fail "more than one line for $*: $output"
}
expect_usage_error --kind unknown
expect_usage_error --kind plain --first x
expect_usage_error --kind plain --count 0
expect_usage_error --kind plain --count -1
expect_usage_error
