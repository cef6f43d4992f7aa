/** Brings a query into the form that selectors are matched against. */
import { normalisePath } from './paths.js'
import type { RuleQuery } from './rulesTypes.js'

/**
 * Resolves the alias, writes the method in upper case and normalises the path.
 *
 * @param query - a request's attributes as received
 * @param aliases - alias to model
 * @returns the query to match
 */
export const resolveQuery = (query: RuleQuery, aliases: ReadonlyMap<string, string>): RuleQuery => ({
  workspace: query.workspace,
  model: query.model === undefined ? undefined : aliases.get(query.model) ?? query.model,
  adapter: query.adapter,
  service: query.service,
  method: query.method?.toUpperCase(),
  path: query.path === undefined ? undefined : normalisePath(query.path)
})
