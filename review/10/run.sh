#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standin-2/run-case.sh" "$here" streamed-body
