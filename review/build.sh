#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They belong to the project's module and need the standard library only.
# Their folder's name keeps them out of ./... .
set -eu
cd "$(dirname "$0")/.."
for case_program in reload crowd lateconn; do
	GOTOOLCHAIN=local CGO_ENABLED=0 go build -o review/bin/ "./review/_standins/$case_program"
done
