#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../standin/target/release/foreign_answer
for file in "$program" ../../target/release/pumicehead; do
    [ -x "$file" ] || { echo "not built: $file"; exit 2; }
done
PID_FILE=$(mktemp) || exit 2
export PID_FILE
timeout -k 2 100 "$program"
code=$?
# The program ends the node itself; this is for the case that it was cut off.
node=$(cat "$PID_FILE")
rm -f "$PID_FILE"
if [ -n "$node" ] && grep -q pumicehead "/proc/$node/cmdline" 2>/dev/null; then
    kill -9 "$node"
fi
[ "$code" -le 1 ] || code=2
exit "$code"
