#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin3 ./review/standin3
