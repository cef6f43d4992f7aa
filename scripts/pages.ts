/** `npm run pages`: writes the documentation that is generated from schemas. */
import { writeFileSync } from 'node:fs'
import { openApiPage } from '../src/admin/openApi.js'
import { settingsPage } from '../src/settings/settingsPage.js'

writeFileSync('docs/SETTINGS.md', settingsPage())
writeFileSync('docs/openapi.json', openApiPage())
