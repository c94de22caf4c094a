#!/bin/sh
# Builds the programs of the cases into target/review. Run from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -f target/review/case-*
for source in review/*/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/case-$number" "$source" &
done
wait
for source in review/*/case.cc; do
    test -x "target/review/case-$(basename "$(dirname "$source")")"
done
