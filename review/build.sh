#!/bin/sh
# Builds the stand-ins of the cases: one program, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/rig.rs
