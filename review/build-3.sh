#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and 12 with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/standin3"
rm -rf target
mkdir target
javac -d target review3/*.java
