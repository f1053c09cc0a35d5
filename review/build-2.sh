#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-standin-2 ./review/standin-2
