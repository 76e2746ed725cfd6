#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10 into target/review-2/. Needs the
# compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in slow_callers stop_slow_callers slow_bookings foreign_entry; do
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread \
    review/standins-2/site.cpp "review/standins-2/$it.cpp" \
    -o "target/review-2/$it"
done
