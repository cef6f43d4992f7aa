/** Tables of the page. */

/** A number with three significant digits and thousands apart. */
export const digits = (value: number): string => {
  if (!Number.isFinite(value)) return 'not reached'
  if (value === 0) return '0'
  const rounded = Number(value.toPrecision(3))
  return Math.abs(rounded) >= 1_000 ? rounded.toLocaleString('en-GB', { maximumFractionDigits: 0 }) : String(rounded)
}

/** Bytes as MB of 2^20. */
export const megabytes = (bytes: number): string => digits(bytes / 1_048_576)

/** One table under a heading. */
export const table = (heading: string, columns: readonly string[], rows: readonly (readonly (string | number)[])[]): string => {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.map(cell => typeof cell === 'number' ? digits(cell) : cell).join(' | ')} |`
  return [`### ${heading}`, '', line(columns), line(columns.map(() => '---')), ...rows.map(line), ''].join('\n')
}

/** How a figure stands to its budget. */
export const against = (value: number, allowed: number): string => {
  const ratio = value / allowed
  return ratio <= 1 ? `within (${digits(100 * ratio)}% of it)` : `**over, ${digits(ratio)} times**`
}
