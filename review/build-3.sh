#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15 into target/review-3/. They need the
# C++ compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = world ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" "$source" review/standin-3/world.cc
done
