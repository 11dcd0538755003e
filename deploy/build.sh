#!/bin/sh
# Puts the locked dependencies and the project's packages into target/deps, which is on the path.
set -eu
lock=requirements.lock
if [ ! -f target/deps/.lock ] || ! cmp -s "$lock" target/deps/.lock; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --require-hashes --no-deps -r "$lock"
    cp "$lock" target/deps/.lock
fi
for package in packages/mimosapoint/src/mimosapoint packages/mimosapoint-node/src/mimosapoint_node; do
    rm -rf "target/deps/$(basename "$package")"
    cp -R "$package" target/deps/
done
