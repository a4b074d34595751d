#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/release
exec rustc --edition 2024 -O -D warnings -o target/release/review-3 review/standins-3/main.rs
