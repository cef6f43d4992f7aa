/** Normalisation of a query before it is matched against selectors. */
import { normalisePath } from './paths.js'
import type { RuleQuery } from './rulesTypes.js'

/**
 * Resolves a model alias, converts the method to upper case and normalises the path.
 *
 * @param query - the attributes of a request as received
 * @param aliases - the models by alias
 * @returns the query to match against selectors
 */
export const resolveQuery = (query: RuleQuery, aliases: ReadonlyMap<string, string>): RuleQuery => ({
  workspace: query.workspace,
  model: query.model === undefined ? undefined : aliases.get(query.model) ?? query.model,
  adapter: query.adapter,
  service: query.service,
  method: query.method?.toUpperCase(),
  path: query.path === undefined ? undefined : normalisePath(query.path)
})
