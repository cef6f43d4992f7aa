import { readFileSync } from 'node:fs'
import { gatewaySettingsSchema } from './gatewaySettings.js'
import { readSettingsWithSchema } from './settingsReader.js'

/** What the platform fills into the template. */
const fields: Readonly<Record<string, string>> = {
  node: 'front-a-1',
  zone: 'a',
  ip: '10.1.0.30',
  'listen.front': '10.1.0.30:8782',
  'listen.ready': '10.1.0.30:8789',
  'listen.directory': '10.1.0.30:8780',
  'portRange.0': '7340',
  'platform.address': '10.200.1.7:8784',
  'bounds.configApplyMs': '2000',
  'bounds.revokeMs': '5000',
  'bounds.strictRevoke': 'true',
  'bounds.retryBudget': '0.2',
  'bounds.budgetWindowS': '10',
  'bounds.retrySlack': '52',
  'bounds.graceS': '8',
  'bounds.versionApplyMs': '8000',
  'limits.cpuShare': '0.675',
  'limits.cores': '1'
}

const renderTemplate = (overrides: Readonly<Record<string, string>> = {}): string =>
  readFileSync('deploy/gateway.ini', 'utf8').replaceAll(/\{\{(.*?)\}\}/g, (_, name: string) => ({ ...fields, ...overrides })[name] ?? '')

const read = (text: string) => readSettingsWithSchema(gatewaySettingsSchema, 'gateway.ini', text)

describe('the settings of a gateway', () => {
  it('are what the template of the platform gives', () => {
    expect(read(renderTemplate())._unsafeUnwrap()).toMatchObject({
      instance: { id: 'front-a-1', data_centre: 'a' },
      listen: { peer_port: 7_340 },
      retries: { fraction: 0.2, slack: 52, window: 10 },
      shutdown: { grace: 8 },
      weights: { apply_within: 8_000 }
    })
  })

  it('take every bound as a fraction, too', () => {
    const fractions = { 'bounds.retrySlack': '37.241379310344826', 'bounds.configApplyMs': '2000.5', 'bounds.revokeMs': '4999.5', 'bounds.graceS': '7.5', 'bounds.versionApplyMs': '8000.25', 'bounds.budgetWindowS': '10.0' }
    expect(read(renderTemplate(fractions)).isOk()).toBe(true)
  })

  it('say which key is wrong, and where', () => {
    const problems = read(renderTemplate({ 'bounds.graceS': 'soon', 'platform.address': 'nowhere' }))._unsafeUnwrapErr()
    expect(problems.map(({ section, key }) => `${section}.${key}`)).toEqual(['platform.store', 'shutdown.grace'])
  })
})
