#!/bin/sh
# Plays one case of the rig: case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/.." && pwd)"
for program in "$root/target/release/papayayard" "$root/target/review/rig"; do
    if [ ! -x "$program" ]; then
        echo "not built: $program" >&2
        exit 2
    fi
done
CASE_TEMP="$(mktemp -d)" || exit 2
export CASE_TEMP CASE_FOLDER="$1" PAPAYAYARD="$root/target/release/papayayard"
# The hosts run in the repository's root, as the platform runs them.
cd "$root" || exit 2
"$root/target/review/rig" "$2" &
rig=$!
trap 'kill "$rig" 2>/dev/null' INT TERM
wait "$rig"
code=$?
# Hosts that are left if the case ended early; they are known by their settings' path. Replicas
# end with the case.
for pid in $(cat "$CASE_TEMP/pids" 2>/dev/null); do
    if grep -qs "$CASE_TEMP" "/proc/$pid/cmdline"; then
        kill -9 "$pid"
    fi
done
[ "$code" -gt 2 ] && code=2
if [ -z "${KEEP_LOGS:-}" ]; then
    rm -rf "$CASE_TEMP"
else
    echo "logs: $CASE_TEMP"
fi
exit $code
