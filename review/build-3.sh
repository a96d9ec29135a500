#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
