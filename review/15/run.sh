#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 target/release/review-3 waiting . review/15/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
