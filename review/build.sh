#!/usr/bin/env bash
# Compiles the stand-ins of the review against the classes of the product's jar (for JSON only).
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p standin/classes
javac -Xlint:all,-serial,-processing -d standin/classes \
    -cp ../cactusspan/target/cactusspan-0.1.0-runnable.jar standin/*.java
