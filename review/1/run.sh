#!/usr/bin/env bash
# A controller dies while a slice is between two owners, and another is given the slice (about 16 s).
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
command=$(sed -n 's/^sim = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
program=../platform/target/release/review-platform
[ -n "$command" ] && [ -x "$program" ] || exit 2
exec "$program" owner "$root" "$command" record.txt
