#!/usr/bin/env bash
# Builds the stand-ins of the cases with the JDK alone; run it in the repository's root.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
find review -name '*.java' > target/review/sources.txt
javac -d target/review/classes @target/review/sources.txt
cp review/harness/wire.properties review/harness/config.json review/harness/settings.txt target/review/classes/
