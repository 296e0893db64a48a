#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$dir/../.." && pwd)
for program in "$root/bin/sloerail-node" "$root/bin/review-2"; do
	[ -x "$program" ] || { echo "$program: not built"; exit 2; }
done
REVIEW_ROOT=$root exec "$root/bin/review-2" reloads "$dir"
