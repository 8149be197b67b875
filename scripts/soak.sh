#!/usr/bin/env bash
# Runs the property tests again and again with fresh seeds for SOAK_SECONDS.
set -uo pipefail

build="${1:-build}"
end=$((SECONDS + ${SOAK_SECONDS:-60}))
round=0
while [ "$SECONDS" -lt "$end" ]; do
  seed="$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')"
  round=$((round + 1))
  echo "round $round: seed=$seed"
  if ! RC_PARAMS="seed=$seed max_success=500" "$build/test/test_correctness" --jobs 4 > "$build/soak.log" 2>&1; then
    tail -40 "$build/soak.log"
    echo "failed with seed=$seed"
    exit 1
  fi
done
echo "soak: $round rounds passed"
