#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/sniperock && test -x target/review/case-1 || exit 2
exec target/review/case-1 review/1
