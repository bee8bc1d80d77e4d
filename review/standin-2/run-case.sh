#!/bin/sh
# Runs a case: run-case.sh FOLDER NAME. Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$1
root=$(cd "$here/../.." && pwd)
program=$root/review/standin-2/target/release/review-standin-2
# One real node, by the deploy file.
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ ! -x "$root/target/release/pumicehead" ] || [ -z "$RUN_COMMAND" ]; then
    echo "not built: the deploy file's build and review/build-2.sh go first" >&2
    exit 2
fi
CASE_TEMP=$(mktemp -d) || exit 2
started=
finish() {
    [ -z "$started" ] || kill -KILL "$started" 2>/dev/null
    # Processes that the program has started and could not end itself.
    if [ -f "$CASE_TEMP/processes" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$CASE_TEMP/processes"
    fi
    rm -rf "$CASE_TEMP"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
ROOT=$root CASE_FOLDER=$here CASE_TEMP=$CASE_TEMP RUN_COMMAND=$RUN_COMMAND "$program" "$2" &
started=$!
wait "$started"
code=$?
started=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
