// Installs the locked packages if they are missing, so that the npm scripts that call this work on a fresh clone.
import { existsSync } from 'node:fs'
import { execFileSync } from 'node:child_process'

const marker = 'node_modules/.package-lock.json'
if (!existsSync(marker)) {
  execFileSync('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'], { stdio: 'inherit' })
}
