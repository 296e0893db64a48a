#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They need the standard library only.
set -eu
cd "$(dirname "$0")/standins"
GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/ ./...
