#!/bin/sh
# Builds the stand-ins of the cases. The gateway itself comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
