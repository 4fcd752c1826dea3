#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/standins3 ./review/standins3
