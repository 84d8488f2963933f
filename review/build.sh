#!/bin/sh
# Builds the stand-ins of the scripts.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml
