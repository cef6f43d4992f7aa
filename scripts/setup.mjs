// Installs the locked packages when they are missing, so that one command works on a fresh clone.
import { existsSync } from 'node:fs'
import { execFileSync } from 'node:child_process'

const marker = 'node_modules/.package-lock.json'
if (!existsSync(marker)) {
  // Not `npm ci`: it refuses a lock file without the prebuilt parts of cbor-extract, which no registry here has and nothing needs.
  execFileSync('npm', ['install', '--no-save', '--no-audit', '--no-fund', '--loglevel=error'], { stdio: 'inherit' })
}
