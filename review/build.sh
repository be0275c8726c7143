#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need no packages and no network.
set -euo pipefail
cd "$(dirname "$0")/platform"
cargo build --release --locked --offline
