#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && rm -f record.txt || exit 2 # no record of an earlier run stays
java -cp ../out LostDrain "$(cd ../.. && pwd)" "$PWD/record.txt" &
child=$!
trap 'kill $child; wait $child; exit 2' TERM INT HUP
wait $child
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # java itself ends with 1 if it can't start
    *) exit 2 ;;
esac
