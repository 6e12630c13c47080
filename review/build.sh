#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
