#!/usr/bin/env bash
# Builds every stand-in that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review
mkdir -p "$out"
for source in review/*/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -g -Wall -Wextra -Wno-missing-field-initializers \
    -I review/standins "$source" -o "$out/case-$number" -pthread &
done
for job in $(jobs -p); do
  wait "$job"
done
