#!/usr/bin/env bash
# Builds the stand-ins of the scripts; the daemons come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../../target/review
go build -o ../../target/review/platform .
