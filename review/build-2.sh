#!/bin/sh
# Builds every stand-in that the scripts of the cases 4 to 8 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig2 ./review/rig2
