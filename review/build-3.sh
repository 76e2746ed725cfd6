#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14 into target/review-3. The programs
# of the project come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for case in poisoned_prompt; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$case" \
    "review/standins-3/$case.cpp" review/standins-3/standin.cpp
done
