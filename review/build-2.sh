#!/bin/sh
# Builds what the scripts of cases 4 to 6 start besides the pilot. It needs no network and no crate.
set -eu
cd "$(dirname "$0")/world"
exec cargo build --release --offline --locked
