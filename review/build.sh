#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support -I/usr/include/jsoncpp)
for source in review/support/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "build/review/$(basename "$source" .cpp).o"
done
for source in review/[1-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" build/review/*.o -ljsoncpp -o "build/review/case-$number.new"
    mv "build/review/case-$number.new" "build/review/case-$number"
done
