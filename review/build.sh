#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts: one program, of the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
