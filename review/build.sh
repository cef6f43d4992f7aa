#!/usr/bin/env bash
# Bundles the project's stand-in of the store for the scripts of the review. The scripts need nothing else but Node.js and the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
node --input-type=module -e "
import { build } from 'esbuild'
await build({ entryPoints: ['platform/fakes/standInStore.ts'], outfile: 'target/review/standInStore.mjs', bundle: true, platform: 'node', format: 'esm', target: 'node20', logLevel: 'error' })
"
