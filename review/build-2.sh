#!/usr/bin/env bash
# Builds what the cases 4 to 6 start: the stand-ins for clients, servers, another writer and the operator.
# Run it in the repository's root, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_stand2
