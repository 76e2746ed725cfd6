#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
cxx="${CXX:-g++}"
for source in review/[1-9]/*.cpp; do
  "$cxx" -std=c++20 -O2 -Wall -Wextra -pthread review/standins/standins.cpp \
    "$source" -o "target/review/$(basename "$source" .cpp)"
done
