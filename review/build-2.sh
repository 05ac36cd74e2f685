#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; to be run after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && exec javac -encoding UTF-8 -d target/review-2 review/src-2/*.java
