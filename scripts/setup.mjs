// Installs the locked packages when they are missing, so that one command works on a fresh clone.
import { existsSync } from 'node:fs'
import { execFileSync } from 'node:child_process'

const marker = 'node_modules/.package-lock.json'
if (!existsSync(marker)) {
  execFileSync('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'], { stdio: 'inherit' })
}
