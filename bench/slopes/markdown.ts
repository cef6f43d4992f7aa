/** Formatting of Markdown tables and of the numbers in them. */

/** Formats a number with three significant digits and thousands separators; infinity and NaN become `not reached`. */
export const formatNumber = (value: number): string => {
  if (!Number.isFinite(value)) return 'not reached'
  if (value === 0) return '0'
  const rounded = Number(value.toPrecision(3))
  return Math.abs(rounded) >= 1_000 ? rounded.toLocaleString('en-GB', { maximumFractionDigits: 0 }) : String(rounded)
}

/** Formats a number of bytes in MB of 2^20 bytes, without the unit. */
export const formatMegabytes = (bytes: number): string => formatNumber(bytes / 1_048_576)

/** Formats a Markdown table under a third-level heading; cells that are numbers are formatted by `formatNumber`. */
export const formatTable = (heading: string, columns: readonly string[], rows: readonly (readonly (string | number)[])[]): string => {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.map(cell => typeof cell === 'number' ? formatNumber(cell) : cell).join(' | ')} |`
  return [`### ${heading}`, '', line(columns), line(columns.map(() => '---')), ...rows.map(line), ''].join('\n')
}

/** Formats a value relative to its budget: as a percentage if it is within the budget, otherwise as a multiple. */
export const compareToBudget = (value: number, budget: number): string => {
  const ratio = value / budget
  return ratio <= 1 ? `within (${formatNumber(100 * ratio)}% of it)` : `**over, ${formatNumber(ratio)} times**`
}
