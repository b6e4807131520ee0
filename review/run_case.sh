#!/bin/sh
# Runs the case whose folder is given, from the repository's root. Exit code 1: the rule was broken,
# 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=target/review/case-$(basename "$folder")
if [ ! -x target/sailreel ] || [ ! -x "$program" ]; then
  echo "the programs aren't built: run the build command of deploy/service.toml and review/build.sh" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
pid=
trap 'test -z "$pid" || kill "$pid" 2>/dev/null; rm -rf "$directory"; exit 2' INT TERM
"$program" target/sailreel "$directory" "$folder/record.txt" "${TROUBLE:-1}" &
pid=$!
wait "$pid"
code=$?
rm -rf "$directory"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
