/** Plots for the tables: percentiles of time to first token, hit rate and worth served by policy. */
import { parse, View } from 'vega'
import type { TopLevelSpec } from 'vega-lite'
import { compile } from 'vega-lite'
import type { Results } from './results.js'

/** One bar of a plot with its error range. */
interface Point {
  readonly policy: string
  readonly measure: string
  readonly value: number
  readonly low: number
  readonly high: number
}

/** Plotted measures: title and figure. */
const measures = [
  ['p50 ms', 'ttftP50'], ['p99 ms', 'ttftP99'], ['hit rate', 'hitRate'], ['worth served', 'worthServed']
] as const

const pointsOf = (results: Results, deployment: string, workload: string): Point[] =>
  results.policies.flatMap(policy => measures.map(([measure, figure]) => {
    const { mean, spread } = results.spread(deployment, workload, policy, figure)
    return { policy, measure, value: mean, low: mean - spread, high: mean + spread }
  }))

const specOf = (values: Point[], title: string, order: string[]): TopLevelSpec => ({
  title,
  data: { values },
  facet: { column: { field: 'measure', type: 'nominal', title: null, sort: measures.map(([measure]) => measure) } },
  resolve: { scale: { x: 'independent' } },
  spec: {
    width: 170,
    layer: [
      { mark: 'bar', encoding: { y: { field: 'policy', type: 'nominal', sort: order, title: null }, x: { field: 'value', type: 'quantitative', title: null }, color: { condition: { test: 'datum.policy === \'wasabireel\'', value: '#2f7d4f' }, value: '#9aa5b1' } } },
      { mark: { type: 'rule', color: '#333333' }, encoding: { y: { field: 'policy', type: 'nominal', sort: order }, x: { field: 'low', type: 'quantitative' }, x2: { field: 'high' } } }
    ]
  }
})

/**
 * Plots the results of one workload as bars by policy, with the spread over seeds.
 *
 * @returns an SVG document
 */
export const plot = async (results: Results, deployment: string, workload: string): Promise<string> => {
  const spec = specOf(pointsOf(results, deployment, workload), `${deployment}: ${workload}`, [...results.policies])
  const view = new View(parse(compile(spec).spec), { renderer: 'none' })
  const svg = await view.toSVG()
  view.finalize()
  return `${svg}\n`
}
