#!/bin/sh
# Builds the stand-ins of the review's scripts. The proxies come from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-standin ./review/standin
