/**
 * What the rules say about a request. The rules feature turns the accepted
 * rules file into a `Ruleset`; every other feature asks it through `RuleQuery`.
 */

/** The attributes of a request that rules may select on. */
export interface RuleQuery {
  readonly workspace: string
  /** Set for model requests. */
  readonly model?: string
  readonly adapter?: string
  /** Set for calls to plain services. */
  readonly service?: string
  readonly method?: string
  readonly path?: string
}

/** Where a rule stands, and who asked for it. */
export interface RuleOrigin {
  readonly line: number
  readonly asker: string
  readonly text: string
}

/** A workspace's limits; they hold over all entry instances together. */
export interface WorkspaceLimit {
  /** Requests per second, averaged over `limitWindow`. */
  readonly requestsPerSecond?: number
  /** Prompt plus generated tokens per second. */
  readonly tokensPerSecond?: number
  /** Requests in flight at once. */
  readonly concurrency?: number
}

/** The answer of the rules for one query. */
export interface RuleDecision {
  readonly allowed: boolean
  /** Endpoints that may serve it; undefined admits all that hold the model or service. */
  readonly endpoints?: readonly string[]
  /** Model after aliasing. */
  readonly model?: string
  /** The weight version that must answer; undefined leaves the newest in force. */
  readonly weightVersion?: string
  /** False when the call may run at most once. */
  readonly repeatable: boolean
  /** Higher goes first; 0 is ordinary. */
  readonly priority: number
  /** Relative worth of an answered request; 1 is ordinary. */
  readonly worth: number
  /** Milliseconds from arrival to the first token, or to the answer of a service call. */
  readonly deadline: number
  readonly limit: WorkspaceLimit
  /** The rule that decided each attribute, keyed by attribute name. */
  readonly because: Readonly<Record<string, RuleOrigin>>
}
