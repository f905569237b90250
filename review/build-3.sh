#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the JDK alone. Needs bin/build-entry before.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out/standins"
javac --release 17 -d "$out/standins" review/11/standin/*.java
for folder in review/1[1-5]; do
  mkdir -p "$out/$(basename "$folder")"
  javac --release 17 -cp "$out/standins" -d "$out/$(basename "$folder")" "$folder"/*.java
done
