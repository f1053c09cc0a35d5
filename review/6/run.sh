#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the build line of deploy/system.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/snipestep-direct ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 silent-end review/6
