#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
name=burst
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
standin=$root/target/review-2/standin
if [ ! -x "$standin" ] || [ ! -x "$root/target/release/burlhatch" ]; then
    echo "build the service as deploy/service.toml says, then run review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
clean() {
    # The stand-in ends the controllers itself; this is for a run that was interrupted.
    if [ -f "$temporary/pids" ]; then
        while read -r id; do
            if [ -r "/proc/$id/cmdline" ] && grep -q "$temporary" "/proc/$id/cmdline"; then kill -9 "$id"; fi
        done <"$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap 'kill "$child" 2>/dev/null; clean; exit 2' INT TERM HUP
"$standin" "$name" "$folder" "$root" "$temporary" &
child=$!
wait "$child"
code=$?
clean
exit "$code"
