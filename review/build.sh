#!/bin/sh
# Builds the stand-ins that the scripts start. It needs the standard library only.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
