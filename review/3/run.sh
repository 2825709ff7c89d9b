#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-standin || sh review/build.sh || exit 2
exec target/review-standin pipelined-shutdown review/3
