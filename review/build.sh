#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review/. Needs only what
# deploy/system.toml lists under `packages`.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -D_TURN_OFF_PLATFORM_STRING -Ireview/standin)
g++ "${flags[@]}" -c review/standin/stage.cc -o target/review/stage.o
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/stage.o -o "target/review/case-$number" -lcpprest -lcrypto -lssl -lpthread
done
