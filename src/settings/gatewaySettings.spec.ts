import { readFileSync } from 'node:fs'
import { gatewaySettingsSchema } from './gatewaySettings.js'
import { readSettingsWithSchema } from './settingsReader.js'

/** Values that the platform substitutes into the placeholders of `deploy/gateway.ini`. */
const placeholderValues: Readonly<Record<string, string>> = {
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
  'bounds.leaseMs': '2500',
  'limits.memoryMb': '200',
  'limits.maxFds': '4100',
  'limits.cpuShare': '0.675',
  'limits.cores': '1'
}

const renderTemplate = (overrides: Readonly<Record<string, string>> = {}): string =>
  readFileSync('deploy/gateway.ini', 'utf8').replaceAll(/\{\{(.*?)\}\}/g, (_, name: string) => ({ ...placeholderValues, ...overrides })[name] ?? '')

const parse = (text: string) => readSettingsWithSchema(gatewaySettingsSchema, 'gateway.ini', text)

describe('gatewaySettingsSchema', () => {
  it('accepts the rendered template of the platform', () => {
    expect(parse(renderTemplate())._unsafeUnwrap()).toMatchObject({
      instance: { id: 'front-a-1', data_centre: 'a' },
      listen: { peer_port: 7_340, descriptors: 4_100 },
      memory: { limit: 200, bodies: 0, unread: 0 },
      retries: { fraction: 0.2, slack: 52, window: 10 },
      shutdown: { grace: 8 },
      weights: { apply_within: 8_000 }
    })
  })

  it('accepts fractional values for every bound', () => {
    const fractionalBounds = { 'bounds.retrySlack': '37.241379310344826', 'bounds.configApplyMs': '2000.5', 'bounds.revokeMs': '4999.5', 'bounds.graceS': '7.5', 'bounds.versionApplyMs': '8000.25', 'bounds.budgetWindowS': '10.0' }
    expect(parse(renderTemplate(fractionalBounds)).isOk()).toBe(true)
  })

  it('reports the section and key of every invalid value', () => {
    const problems = parse(renderTemplate({ 'bounds.graceS': 'soon', 'platform.address': 'nowhere' }))._unsafeUnwrapErr()
    expect(problems.map(({ section, key }) => `${section}.${key}`)).toEqual(['platform.store', 'shutdown.grace'])
  })

  it('takes the time between orders of two instances from the bound of the platform, and its default where there is none', () => {
    expect(parse(renderTemplate())._unsafeUnwrap().weights.reacquire_after).toBe(2_500)
    expect(parse(renderTemplate({ 'bounds.leaseMs': '' }))._unsafeUnwrap().weights.reacquire_after).toBe(3_000)
    expect(parse(renderTemplate({ 'bounds.leaseMs': '-1' }))._unsafeUnwrapErr()).toMatchObject([{ kind: 'wrongValue', section: 'weights', key: 'reacquire_after', found: '"-1"' }])
  })
})
