import { describeProblem, readSettings } from './settingsReader.js'

const minimal = '[instance]\nid = nm-derby-e1\ndata_centre = nm-derby\n'

const problems = (text: string): string[] => readSettings('a.ini', text).match(() => [], settingProblems => settingProblems.map(describeProblem))

describe('readSettings', () => {
  it('applies the default of every key that is left out', () => {
    const settings = readSettings('a.ini', minimal)._unsafeUnwrap()
    expect(settings.addresses.time_to_live).toBe(5000)
    expect(settings.worker).toEqual({})
  })

  it('parses workers, models and seeds', () => {
    const text = minimal + '[peer]\nseeds = e2@127.0.0.1:7001, e3@127.0.0.1:7002\n[worker.nm-derby-w1]\nhost = 127.0.0.1\nport = 9\ndata_centre = nm-derby\nmodels = drafter@7,drafter+branch@7\n'
    const settings = readSettings('a.ini', text)._unsafeUnwrap()
    expect(settings.peer.seeds[1]).toEqual({ id: 'e3', host: '127.0.0.1', port: 7002 })
    expect(settings.worker['nm-derby-w1'].models).toEqual([{ model: 'drafter', weightVersion: '7' }, { model: 'drafter', adapter: 'branch', weightVersion: '7' }])
  })

  it('reports the file, section, key, value and allowed range of an invalid value', () => {
    expect(problems(minimal + '[routing]\nobjective = 2\n')).toEqual(['a.ini: [routing] objective: found "2", allowed: a number from 0 to 1'])
  })

  it('rejects unknown keys and sections, and reports missing keys', () => {
    expect(problems(minimal + '[routing]\nobjectiv = 1\n')[0]).toContain('[routing] objectiv: found "1"')
    expect(problems('[instance]\nid = a\n')).toEqual(['a.ini: [instance] data_centre: found nothing, allowed: letters, digits and -'])
    expect(problems(minimal + '[rooting]\nx = 1\n')[0]).toContain('[rooting]')
  })

  it('reports invalid values in worker sections', () => {
    expect(problems(minimal + '[worker.w1]\nhost = derby.example\nport = 70000\ndata_centre = nm\n')).toEqual([
      'a.ini: [worker.w1] host: found "derby.example", allowed: an IPv4 or IPv6 address',
      'a.ini: [worker.w1] port: found "70000", allowed: a whole number from 0 to 65535'
    ])
  })

  it.each(['256.0.0.1', '10.0.0.999', '1.2.3'])('rejects the host %s', host => {
    expect(problems(minimal + `[caller]\nhost = ${host}\n`)).toEqual([`a.ini: [caller] host: found "${host}", allowed: an IPv4 or IPv6 address`])
  })

  it('rejects seeds whose IPv4 address has an octet above 255', () => {
    expect(problems(minimal + '[peer]\nseeds = e2@300.0.0.1:7001\n')).toEqual(['a.ini: [peer] seeds: found "e2@300.0.0.1:7001", allowed: id@host:port, separated by commas'])
  })
})
