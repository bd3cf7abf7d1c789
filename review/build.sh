#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Run it from anywhere, after the build of the deploy
# file; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target
