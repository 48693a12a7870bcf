#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-firststart ./review/3/_firststart
