#!/bin/sh
# Builds the stand-ins of the second review's scripts. Needs the compiler alone: no packages, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/cases-2.rs -o target/review-2/cases
