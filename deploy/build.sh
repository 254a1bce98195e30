#!/bin/sh
# Lays the libraries and the packages that the programs need below target/deps, as bytecode too.
set -eu
installed=target/deps/.installed
if ! cat requirements.lock deploy/requirements.txt | cmp -s - "$installed"; then
    rm -rf target/deps
    python3 -m pip install -q --no-compile --target target/deps -r deploy/requirements.txt
    cat requirements.lock deploy/requirements.txt > "$installed"
fi
for package in core protocol workflow; do
    rm -rf "target/deps/briardeal_$package"
    cp -R "packages/$package/briardeal_$package" target/deps/
done
rm -rf target/deps/briardeal_platform
cp -R platform/briardeal_platform target/deps/
python3 -m compileall -q target/deps
