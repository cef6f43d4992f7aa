/**
 * Reports of errors that the program does not expect. Each is counted by its
 * place; the log gets the first error of a place and then at most one line a
 * minute, since an error may recur at every tick.
 */

/** A log line about an unexpected error. */
export interface ErrorReport {
  readonly kind: 'internalError'
  readonly place: string
  /** Name and message, at most 300 characters. */
  readonly error: string
  /** First lines of the stack, at most 1,200 characters. */
  readonly stack: string
  /** Errors of this place since the last line about it, this one included. */
  readonly errors: number
}

/** Where reports go. */
export interface ErrorReportsOptions {
  /** Called for each error. */
  readonly count: (place: string) => void
  readonly write: (report: ErrorReport) => void
}

/** Reports an error of a place, at the present time in ms. */
export type ReportError = (place: string, error: unknown, now: number) => void

/** Time between two log lines about one place, in ms. */
const lineInterval = 60_000
/** Largest number of places; errors of further ones count as of the place `other`. */
const maxPlaces = 128
const maxErrorLength = 300
const maxStackLength = 1_200

interface Place {
  writtenAt: number
  errors: number
}

/** Describes anything that can be thrown; a hostile object may throw again when it is read. */
const describeError = (error: unknown): Pick<ErrorReport, 'error' | 'stack'> => {
  try {
    const text = error instanceof Error ? `${error.name}: ${error.message}` : String(error)
    const stack = error instanceof Error ? String(error.stack) : ''
    return { error: text.slice(0, maxErrorLength), stack: stack.slice(0, maxStackLength) }
  } catch {
    return { error: 'unreadable', stack: '' }
  }
}

/**
 * Creates the reports of one process.
 *
 * @param options - where they go
 */
export const createErrorReports = ({ count, write }: ErrorReportsOptions): ReportError => {
  const places = new Map<string, Place>()

  return (name, error, now) => {
    const place = places.has(name) || places.size < maxPlaces ? name : 'other'
    const known = places.get(place) ?? { writtenAt: -Infinity, errors: 0 }
    places.set(place, known)
    count(place)
    known.errors++
    if (now - known.writtenAt < lineInterval) return
    write({ kind: 'internalError', place, ...describeError(error), errors: known.errors })
    known.writtenAt = now
    known.errors = 0
  }
}
