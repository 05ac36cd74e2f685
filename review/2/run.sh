#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")"
exec java -cp ../out ShortOutage "$(cd ../.. && pwd)" "$PWD/record.txt"
