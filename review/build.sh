#!/usr/bin/env bash
# Builds the programs that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  name="$(basename "$source" .cpp)"
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/$name" "$source"
done
