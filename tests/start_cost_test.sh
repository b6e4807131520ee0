#!/bin/bash
# Limits the cost of a start before main, by counts instead of times: the relocations by the dynamic
# linker, and the shared libraries that are loaded. The counts are 134 and 3. With shared instead of
# static libraries they are 5,812 and 11, and dynamic linking takes three quarters of a start's
# instructions.
set -euo pipefail
program=$1
max_relocations=200
max_libraries=4

fail() { echo "FAILED: $*"; exit 1; }

relocations=$(LD_DEBUG=statistics "$program" --version 2>&1 |
  sed -n 's/.*final number of relocations: *//p')
[ -n "$relocations" ] || fail "the dynamic linker printed no statistics"
libraries=$(ldd "$program" | grep -c '=>')
echo "relocations $relocations (at most $max_relocations), libraries $libraries (at most $max_libraries)"
[ "$relocations" -le "$max_relocations" ] || fail "too many relocations"
[ "$libraries" -le "$max_libraries" ] || fail "too many libraries"
