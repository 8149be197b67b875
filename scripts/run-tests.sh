#!/usr/bin/env bash
# Runs every test program of a build folder and prints one closing line.
# Tests listed in KNOWN-RED.txt may fail; they are run and printed as such.
set -uo pipefail

build="${1:-build}"
root="$(cd "$(dirname "$0")/.." && pwd)"
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
export BILBERRY_BUILD="$build"
results="$build/test-results"
rm -rf "$results"
mkdir -p "$results"

known_red() {
  sed -n 's/^test: *//p' "$root/KNOWN-RED.txt" 2>/dev/null
}

passed=0
failed=0
red=0
for program in "$build"/test/test_*; do
  [ -x "$program" ] || continue
  name="$(basename "$program")"
  tap="$results/$name.tap"
  jobs=4
  # Tests that start processes share the machine's cores.
  case "$name" in test_process) jobs=1 ;; esac
  "$program" --jobs "$jobs" --tap="$tap" > "$results/$name.log" 2>&1
  code=$?
  if [ ! -s "$tap" ]; then
    echo "$name ended with code $code and no results"
    tail -20 "$results/$name.log"
    failed=$((failed + 1))
    continue
  fi
  passed=$((passed + $(grep -c '^ok ' "$tap")))
  while read -r test; do
    if known_red | grep -qxF "$test"; then
      echo "known red: $test"
      red=$((red + 1))
    else
      echo "FAILED: $test ($name)"
      failed=$((failed + 1))
    fi
  done < <(sed -n 's/^not ok - \([^ ]*\).*/\1/p' "$tap")
  if [ "$code" -ne 0 ] && ! grep -q '^not ok' "$tap"; then
    echo "$name ended with code $code"
    failed=$((failed + 1))
  fi
  if grep -q '^not ok' "$tap"; then
    grep -vE '^\[ *(PASS|SKIP|RUN)' "$results/$name.log" | head -60
  fi
done
echo "known red: $red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
