/** Names of the features, as used in the registry of the node. */
export const featureNames = ['config', 'claims', 'membership', 'endpoints', 'orders', 'cache', 'limits', 'requests', 'admin'] as const

/** The name of a feature; responses are routed back to the requesting feature by it. */
export type FeatureName = typeof featureNames[number]
