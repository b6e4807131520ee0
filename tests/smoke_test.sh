#!/bin/sh
# Runs the program on loopback and checks its command line and the responses that need no leader:
# without a state service, no controller becomes the leader. The wait for the start is limited by a
# number of attempts, not by a deadline.
set -eu
program=$1
dir=$(mktemp -d)
pid=
trap 'test -z "$pid" || kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT

# Two ports that parallel runs don't use: each run has another process id, and the kernel assigns
# ports to outgoing connections from 32768 on. With 20000 + pid % 20000, a run's port could be the
# peer port of the run with the preceding process id.
port=$((10000 + 2 * ($$ % 10000)))
cat > "$dir/settings.json" <<JSON
{"label":"n0","area":"a","listen":"127.0.0.1:$port","peer_listen":"127.0.0.1:$((port + 1))",
 "siblings":[],"external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},
 "settings":{"zones":["a"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":8}],
 "workers":{"report_s":1,"lease_s":10,"cancel_s":30},
 "state":{"rps":80,"write_rps":20,"value_kb":8,"txn_ops":16},"cloud":{"rps":2,"list_lag_s":6},
 "resources":{"cpu":0.1,"memory_mb":40,"fd_limit":500}}}
JSON
fail() { echo "FAIL: $1"; exit 1; }

"$program" --version | grep -q '^sailreel [0-9]' || fail "--version prints no version"
"$program" --help | grep -q -- --options || fail "--help doesn't list --options"
"$program" --config "$dir/settings.json" --check-config | grep -q valid || fail "--check-config rejects valid settings"

status=0; "$program" --config "$dir/none.json" 2> "$dir/err" || status=$?
test "$status" = 2 || fail "a missing settings file gives exit status $status, not 2"
sed 's/"lease_s":10,//' "$dir/settings.json" > "$dir/bad.json"
status=0; "$program" --config "$dir/bad.json" 2> "$dir/err" || status=$?
test "$status" = 2 || fail "a missing field gives exit status $status, not 2"
grep -q 'settings.workers.lease_s' "$dir/err" || fail "the error doesn't name the missing field"
test "$(wc -l < "$dir/err")" = 1 || fail "a missing field: the error isn't exactly one line"
echo 'headroom_ratio: 0.2' > "$dir/options"
"$program" --options "$dir/options" --config "$dir/settings.json" --check-config > "$dir/out" || fail "--check-config rejects valid options"
# Checks that an invalid federation is reported in one line, with exit status 2.
bad_federation() {
  printf 'federation { region: "north" %s }\n' "$1" > "$dir/options"
  status=0; "$program" --options "$dir/options" --config "$dir/settings.json" --check-config 2> "$dir/err" || status=$?
  test "$status" = 2 || fail "federation with $2 gives exit status $status, not 2"
  test "$(wc -l < "$dir/err")" = 1 || fail "federation with $2: the error isn't exactly one line"
  grep -q "$3" "$dir/err" || fail "federation with $2: the error doesn't contain '$3'"
}
north='regions { name: "north" }'
south='regions { name: "south" address: "10.8.0.1:8081" }'
bad_federation "$south" "no region of that name" 'this region, north'
bad_federation "$north $south $south" "a region twice" 'south stands twice'
bad_federation "$north regions { name: \"south\" }" "a region without address" 'south has no address'
bad_federation "$north regions { name: \"south\" address: \"nowhere\" }" "a bad address" 'not an address'
bad_federation "$north $south share { team: \"t\" region: \"west\" gpus: 1 }" "an unknown region" 'unknown region west'
bad_federation "$north $south share { team: \"u\" region: \"south\" gpus: 1 }" "an unknown team" 'unknown team u'
bad_federation "$north $south share { team: \"t\" region: \"south\" gpus: 9 }" "too large a share" 'above its limit'
bad_federation "" "no regions" 'no regions'
printf 'federation { region: "north" %s %s share { team: "t" region: "south" gpus: 8 } }\n' "$north" "$south" > "$dir/options"
"$program" --options "$dir/options" --config "$dir/settings.json" --check-config > "$dir/out" || fail "--check-config rejects a valid federation"
echo 'headroom: 0.2' > "$dir/options"
status=0; "$program" --options "$dir/options" --config "$dir/settings.json" --check-config 2> "$dir/err" || status=$?
test "$status" = 2 || fail "an unknown option gives exit status $status, not 2"
grep -q headroom "$dir/err" || fail "the error doesn't name the unknown option"
status=0; LOG_LEVEL=loud "$program" --config "$dir/settings.json" --check-config 2> "$dir/err" || status=$?
test "$status" = 2 || fail "a bad LOG_LEVEL gives exit status $status, not 2"

"$program" --config "$dir/settings.json" 2> "$dir/log" &
pid=$!
url="http://127.0.0.1:$port"
http_status() { curl -s -o "$dir/body" -w '%{http_code}' --max-time 5 "$@" || true; }
tries=0
until test "$(http_status "$url/nowhere")" = 404; do
  tries=$((tries + 1)); test "$tries" -lt 200 || fail "the program doesn't respond"
  sleep 0.05
done
expect() { expected=$1; shift; actual=$(http_status "$@"); test "$actual" = "$expected" || fail "curl $* gives status $actual, not $expected"; }
expect 405 -X DELETE "$url/v1/jobs"
expect 404 "$url/v1/jobs/not-a-job"
expect 400 -d 'not a report' "$url/hello"
expect 503 -d '{"id":"job-1"}' "$url/v1/jobs"
head -c 70000 /dev/zero | tr '\0' x > "$dir/big"
expect 400 --data-binary "@$dir/big" "$url/v1/jobs"
expect 503 "$url/v1/jobs/job-1"
kill -0 "$pid" || fail "the program ended"
grep -q event=started "$dir/log" || fail "event=started is missing in the log"
echo "smoke test passed"
