/** Pagination of lists by name. */

/** Position and size of a page. */
export interface PageQuery {
  /** Largest number of rows on the page. */
  readonly limit: number
  /** Name of the last row of the previous page; absent for the first page. */
  readonly after?: string
}

/** One page of rows and the position of the next page. */
export interface Page<Row> {
  readonly rows: readonly Row[]
  /** Value of `after` for the next page; absent on the last page. */
  readonly next?: string
}

/**
 * Returns one page of the rows in order of their names. Pages start after a name
 * instead of at an offset, so that a row added or removed between two calls does
 * not shift the other rows.
 *
 * @param all - all rows in any order
 * @param nameOf - returns the unique name of a row
 * @param query - position and size of the page
 * @returns the rows of the page and the name from which the next page continues
 */
export const pageByName = <Row>(all: readonly Row[], nameOf: (row: Row) => string, { limit, after }: PageQuery): Page<Row> => {
  const remaining = all
    .filter(row => after === undefined || nameOf(row) > after)
    .sort((left, right) => nameOf(left) < nameOf(right) ? -1 : 1)
  const rows = remaining.slice(0, limit)
  return remaining.length > limit ? { rows, next: nameOf(rows[limit - 1]) } : { rows }
}
