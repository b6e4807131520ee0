#!/bin/sh
# Builds the stand-ins of the cases review/4 to review/6, after the build command of the deploy file.
# The programs go to target/review-2, which git ignores. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
uv=$(find /usr/lib -name libuv_a.a | head -n 1)
http_parser=$(find /usr/lib -name libhttp_parser.a | head -n 1)
for source in review/standins-2/platform.cpp sim/fake_kv_store.cpp src/protocol/fake_server_codec.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc -I. -Ireview/standins-2 -c "$source" -o "$out/$(basename "$source" .cpp).o"
done
for number in 4 5 6; do
  test -f "review/$number/case.cpp" || continue
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc -I. -Ireview/standins-2 "review/$number/case.cpp" \
    "$out/platform.o" "$out/fake_kv_store.o" "$out/fake_server_codec.o" \
    target/libsailreel_transport.a target/libsailreel_core.a "$uv" "$http_parser" -lpthread -ldl \
    -o "$out/case-$number"
done
