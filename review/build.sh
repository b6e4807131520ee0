#!/bin/sh
# Builds the stand-ins and the programs of the cases into target/review. The deploy file's build
# must have run before: its libraries are linked.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
c++ -std=c++20 -O1 -Wall -Wextra -Isrc -I. -c src/protocol/fake_server_codec.cpp \
  -o target/review/fake_server_codec.o
for source in review/[0-9]*/scenario.cpp; do
  number=$(basename "$(dirname "$source")")
  c++ -std=c++20 -O1 -Wall -Wextra -Isrc -I. "$source" \
    target/review/fake_server_codec.o target/libsailreel_transport.a target/libsailreel_core.a \
    -l:libuv_a.a -l:libhttp_parser.a -lpthread -ldl -o "target/review/case-$number"
done
