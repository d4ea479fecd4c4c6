#!/bin/sh
# The stand-ins of the second review are plain JavaScript in review/lib-2: nothing has to be compiled.
# Checks that each file can be read by Node.js, and that the build of the deploy file was made.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-2/*.mjs review/*/case.mjs; do
	node --check "$file" || exit 1
done
[ -f target/node/bin/turmeric-platform-node.cjs ] || {
	echo 'run the build of deploy/system.toml first' >&2
	exit 1
}
