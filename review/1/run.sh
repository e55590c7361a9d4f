#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
root=$(cd ../.. && pwd)
timeout 118 java -Xmx512m -cp "$root/cactusspan/target/cactusspan-0.1.0-runnable.jar:$root/review/standin/classes" \
    StuckDuty "$root" "$PWD/record.txt" "${TROUBLE:-1}"
status=$?
tail -n 1 record.txt | grep -q "result: $status" && exit "$status"
exit 2
