#!/bin/sh
# Compiles the stand-ins that the cases start. Needs a JDK only; run it after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -Xlint:all -d out src/*.java
