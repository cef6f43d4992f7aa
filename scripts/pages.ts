/** Writes the pages that are made from schemas. */
import { writeFileSync } from 'node:fs'
import { settingsPage } from '../src/settings/settingsPage.js'

writeFileSync('docs/SETTINGS.md', settingsPage())
