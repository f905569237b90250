#!/usr/bin/env bash
# Compiles the stand-ins and the trials of the cases. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
javac --release 17 -d target/classes standin/*.java
