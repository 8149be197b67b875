#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2. Their
# stand-ins need no library and none of the project's stand-ins.
set -eu
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
  source="review/$case/Play.cpp"
  if [ -f "$source" ]; then
    mkdir -p target/review-2
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2 \
      -o "target/review-2/$case" "$source"
  fi
done
