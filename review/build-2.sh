#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Works from any folder, without a
# network once the crates in the lock file have been fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/cluster-2/Cargo.toml --target-dir target
