#!/bin/sh
# Install the locked dependencies into target/deps, which is on the import path, and the program
# with the project's packages into target/program. Each version has its own folder and the link
# target/program is replaced atomically, so a build does not change the files of running nodes.
set -eu
keep_minutes=180 # longer than any run of the bench
lock=requirements.lock
sources="platform/run.py platform/mimosapoint_platform packages/mimosapoint/src/mimosapoint \
    packages/mimosapoint-node/src/mimosapoint_node"

if [ ! -f target/deps/.lock ] || ! cmp -s "$lock" target/deps/.lock; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --require-hashes --no-deps -r "$lock"
    cp "$lock" target/deps/.lock
fi

# shellcheck disable=SC2086 # split the list at its spaces
version=$(find $sources -type f -name '*.py' -print | sort | xargs sha256sum | sha256sum | cut -c1-16)
program=program-$version
if [ ! -d "target/$program" ]; then
    new=target/new-$$
    rm -rf "$new"
    mkdir -p "$new"
    # shellcheck disable=SC2086
    cp -R $sources "$new/"
    mv -T "$new" "target/$program" 2>/dev/null || rm -rf "$new" # a concurrent build created it
fi
touch "target/$program"
ln -s "$program" "target/link-$$"
mv -T "target/link-$$" target/program
find target -maxdepth 1 -name 'program-*' -mmin +$keep_minutes -exec rm -rf {} +
