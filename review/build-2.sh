#!/usr/bin/env bash
# Builds the cases review/6 to review/9 and the stand-ins that they share into target/review-2. Needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/6/standin/*.java)
for case in 6 7 8 9; do
  for file in "review/$case"/*.java; do
    [ -e "$file" ] && sources+=("$file")
  done
done
javac -nowarn -d target/review-2 "${sources[@]}"
