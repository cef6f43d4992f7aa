/** The version of this build, filled in by the bundler. */
declare const WASABIREEL_VERSION: string | undefined

/** The package's version, or `0.0.0-source` when run from source. */
export const version = typeof WASABIREEL_VERSION === 'string' ? WASABIREEL_VERSION : '0.0.0-source'
