#!/usr/bin/env bash
# Compiles each case with the stand-ins that all cases share (1/standin). Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for number in 1 2 3; do
  mkdir -p "$number/target"
  javac --release 17 -d "$number/target" 1/standin/*.java "$number"/*.java
done
