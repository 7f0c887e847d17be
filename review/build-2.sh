#!/usr/bin/env bash
# Builds what the cases 4 to 8 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standins-2/*.java review/[4-8]/*.java
