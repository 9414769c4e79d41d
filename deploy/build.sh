#!/bin/sh
# Installs the programs and their libraries into target/deps. Libraries are installed
# anew when what is required changes; the programs' sources are copied each time.
set -eu
stamp=target/deps/.installed
required="constraints.txt deploy/build.sh packages/mustardquay/pyproject.toml
packages/mustardquay-node/pyproject.toml platform/pyproject.toml"
changed=yes
if [ -e "$stamp" ]; then
    changed=$(find $required -newer "$stamp")
fi
if [ -n "$changed" ]; then
    rm -rf target
    mkdir -p target/src
    # From copies, since an installation writes into the folders that it reads.
    cp -r packages/mustardquay packages/mustardquay-node platform target/src/
    python3 -m pip install --quiet --upgrade --constraint constraints.txt \
        --target target/deps ./target/src/mustardquay ./target/src/mustardquay-node \
        ./target/src/platform
fi
for package in packages/mustardquay packages/mustardquay-node platform; do
    cp -r "$package"/src/mustardquay* target/deps/
done
python3 -m compileall -q target/deps/mustardquay*
touch "$stamp"
