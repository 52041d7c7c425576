#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. The product
# itself is built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/main.cpp \
  -o target/review-2/player
