#!/bin/sh
# Builds the stand-ins of the cases 11 to 14 into target/review-3. Run it after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-3/$name" "$source"
done
