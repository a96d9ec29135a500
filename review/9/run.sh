#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
cases=review/stand-ins-2/target/release/cases
[ -x "$cases" ] && [ -x target/release/kelpwind ] || { echo "not built" >&2; exit 2; }
# All nodes are children of this program, which ends them when it ends.
timeout -k 5 110 "$cases" pipeline "$here/record.txt"
status=$?
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
