#!/usr/bin/env bash
# A controller dies while a slice is between two owners, and another is given the slice (about 16 s).
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
command=$(sed -n 's/^sim = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
program=../platform/target/release/review-platform
[ -n "$command" ] && [ -x "$program" ] || exit 2
# A process group of its own, so that nothing is left where the script is ended early.
set -m
"$program" owner "$root" "$command" record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
