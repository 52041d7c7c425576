#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -c review/standin-3/standin.cpp -o target/review-3/standin.o
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  if [[ $name != standin ]]; then
    g++ -std=c++20 -O2 -Wall "$source" target/review-3/standin.o -pthread \
      -o "target/review-3/$name"
  fi
done
