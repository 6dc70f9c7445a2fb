#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, one program for each case, below target/review-2. Needs the
# packages of the deploy file and nothing else, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
done
