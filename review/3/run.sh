#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review/standins || { echo 'run review/build.sh first'; exit 2; }
exec target/review/standins slow-reader review/3
