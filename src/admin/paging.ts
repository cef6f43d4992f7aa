/** Cuts lists into pages. */

/** Which rows are wanted. */
export interface PageQuery {
  readonly limit: number
  readonly after?: string
}

/** Some rows, and how to ask for those after them. */
export interface Page<Row> {
  readonly rows: readonly Row[]
  /** Set unless this is the last page. */
  readonly next?: string
}

/**
 * Takes a page of rows in order of their names, so that rows that come or go
 * between two pages move no other row.
 *
 * @param all - all rows
 * @param nameOf - names a row, uniquely
 * @param query - which page
 */
export const pageByName = <Row>(all: readonly Row[], nameOf: (row: Row) => string, { limit, after }: PageQuery): Page<Row> => {
  const rest = all
    .filter(row => after === undefined || nameOf(row) > after)
    .sort((left, right) => nameOf(left) < nameOf(right) ? -1 : 1)
  const rows = rest.slice(0, limit)
  return rest.length > limit ? { rows, next: nameOf(rows[limit - 1]) } : { rows }
}
