#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need no package, so no network either.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --locked --offline --manifest-path "$root/review/standin-2/Cargo.toml"
