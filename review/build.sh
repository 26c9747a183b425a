#!/bin/bash
# Builds the stand-ins that the scripts start, without a network.
set -e
cd "$(dirname "$0")/standin"
CARGO_TARGET_DIR=target cargo build --release --offline --locked
