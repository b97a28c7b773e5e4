#!/usr/bin/env bash
# Builds the stand-ins of the scripts 6 to 10, and of the further ones in review/more, into target/review-2. They need the C++ compiler and the libraries of the
# deploy file. The gateway, and the libraries that the stand-in for the store is linked with, come from the build of the deploy file, which has to be done before.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
project=(-I. -Isrc -I/usr/include/jsoncpp)
objects=()
compile() {
    g++ "${flags[@]}" "${@:2}" -c "$1" -o "$out/$(basename "$(dirname "$1")")-$(basename "$1" .cpp).o"
}
jobs=()
start() {
    compile "$@" &
    jobs+=($!)
}
start review/support-2/lab.cpp
for source in review/support-3/*.cpp platform/tests/standinplatform.cpp; do
    start "$source" "${project[@]}"
    objects+=("$out/$(basename "$(dirname "$source")")-$(basename "$source" .cpp).o")
done
cases=(6/deadlyparts 7/versions 8/resets 9/smuggling 10/rollout more/upgrade more/deadlyrequests more/brittle)
for case in "${cases[@]}"; do
    start "review/$case.cpp" "${project[@]}"
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for case in "${cases[@]}"; do
    main=$out/${case/\//-}.o
    program=$out/case-${case%/*}
    [ "${case%/*}" = more ] && program=$out/${case/\//-}
    if grep -q support-2/lab.h "review/$case.cpp"; then
        g++ "${flags[@]}" "$main" "$out/support-2-lab.o" -o "$program"
    else
        g++ "${flags[@]}" "$main" "${objects[@]}" target/src/http/libhttp.a target/src/base/libbase.a -ljsoncpp -lcrypto -o "$program"
    fi
done
