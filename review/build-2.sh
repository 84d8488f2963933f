#!/bin/sh
# Builds the stand-ins of cases 4 to 8, without a network, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
