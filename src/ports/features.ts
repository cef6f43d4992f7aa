/** The names by which the node's registry knows its features. */
export const featureNames = ['config', 'claims', 'membership', 'endpoints', 'orders', 'cache', 'limits', 'requests', 'admin'] as const

/** The name of a feature; it routes answers back to whoever asked. */
export type FeatureName = typeof featureNames[number]
