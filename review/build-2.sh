#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
rm -rf review/standin2/target
mkdir -p review/standin2/target
javac -Xlint:all,-options,-serial -cp cactusspan/target/cactusspan-0.1.0-runnable.jar \
    -d review/standin2/target review/standin2/*.java
