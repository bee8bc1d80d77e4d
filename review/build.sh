#!/bin/sh
# Builds the stand-ins of all cases. Needs no network: they have no dependencies.
set -e
cd "$(dirname "$0")/standin"
exec cargo build --release --offline
