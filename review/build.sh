#!/bin/sh
# Builds the stand-ins of the cases. It needs the Go tool chain and no network.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/standin .
