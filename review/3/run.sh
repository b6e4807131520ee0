#!/bin/sh
# Runs this case; see claim.txt, and run_case.sh for the exit codes.
here=$(dirname "$0")
exec "$here/../run_case.sh" "$here"
