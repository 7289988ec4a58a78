#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. They use the
# standard library alone.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
