#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: review/N/run.sh. Needs no network.
set -eu
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --locked --offline
