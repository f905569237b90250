#!/usr/bin/env bash
# Builds the stand-ins and cases of review/6 to review/10 into target/review-2. Needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/standin-2/*.java)
for case in 6 7 8 9 10; do
  for file in "review/$case"/*.java; do
    [ -e "$file" ] && sources+=("$file")
  done
done
javac -nowarn -d target/review-2 "${sources[@]}"
