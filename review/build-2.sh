#!/bin/bash
# Builds the stand-ins of the second review.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-fleet ./review/second/platform
