#!/bin/sh
# Builds the stand-ins of the scripts 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
jobs=
for case in order poison brittle takeup parts; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$case" \
        review/standins-4/net.cpp review/standins-4/platform.cpp review/standins-4/modelserver.cpp "review/standins-4/$case.cpp" &
    jobs="$jobs $!"
done
for job in $jobs; do
    wait "$job"
done
