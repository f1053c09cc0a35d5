#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-standin ]; then
  echo "could not run: review/build.sh has not built target/review-standin" >review/1/record.txt
  exit 2
fi
exec target/review-standin era review/1
