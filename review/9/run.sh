#!/usr/bin/env bash
# Exits with 1 if an acknowledged write is lost, 0 if none is, 2 if the case
# couldn't run. TROUBLE=0 leaves the cut and the outage out. About 28 seconds.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
proxy=$root/target/marigoldpitch-proxy
stage=$root/target/review-stage
[ -x "$proxy" ] && [ -x "$stage" ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
cd "$root" || exit 2 # the programs start in the root of the repository
RECORD="$root/review/9/record.txt" timeout -k 2 100 "$stage" "$proxy" "$work" lapsed-host
status=$?
[ $status -le 1 ] || exit 2
exit $status
