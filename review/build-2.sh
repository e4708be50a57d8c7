#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/.second/stand
