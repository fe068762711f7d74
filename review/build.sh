#!/bin/sh
# Checks the stand-ins and the cases; they are plain modules for Node and need no compiler.
set -e
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
test -f ../target/radishbayd.mjs || {
  echo "target/radishbayd.mjs is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
