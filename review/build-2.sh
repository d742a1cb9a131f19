#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on: one program of the standard library alone, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
