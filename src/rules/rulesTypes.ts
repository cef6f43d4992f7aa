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
  /** The asker's team, which owns the line. */
  readonly team: string
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

/** Why a query is refused by the rules. */
export type RuleRefusal = 'unknownWorkspace' | 'unknownModel' | 'unknownAdapter' | 'denied'

/** The answer of the rules for one query. */
export interface RuleDecision {
  readonly allowed: boolean
  /** Set when `allowed` is false. */
  readonly refusal?: RuleRefusal
  /** Endpoints that may serve it; undefined admits all that hold the model or service. */
  readonly endpoints?: readonly string[]
  /** Data centres whose endpoints may serve it as well; set together with `endpoints`. */
  readonly dataCentres?: readonly string[]
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
  /** The rule that decided each attribute, keyed by attribute name; put together when read. */
  readonly because: Readonly<Record<string, RuleOrigin>>
}

/** Conditions on a query; each value is a glob, and an absent one admits anything. */
export interface Selector {
  readonly workspace?: string
  readonly model?: string
  readonly service?: string
  readonly adapter?: string
  readonly method?: string
  readonly path?: string
}

/** When a key is valid, in ms since 1970; an absent bound is open. */
export interface Validity {
  readonly from?: number
  readonly until?: number
}

/** What an operator key permits. */
export type OperatorRole = 'read' | 'publish' | 'fleet'

/** An operator, as one of its keys names it. */
export interface Operator {
  readonly role: OperatorRole
  /** The team whose lines a `publish` key may change. */
  readonly team: string
  /** The workspaces whose lines a `publish` key may change. */
  readonly workspaces: readonly string[]
}

/** One line of a rules file. */
export type Rule =
  | {
    readonly kind: 'workspace'
    readonly name: string
    readonly worth?: number
    readonly priority?: number
    /** In ms. */
    readonly deadline?: number
    readonly limit: WorkspaceLimit
    readonly origin: RuleOrigin
  }
  | { readonly kind: 'callerKey', readonly workspace: string, readonly hash: string, readonly validity: Validity, readonly origin: RuleOrigin }
  | { readonly kind: 'operatorKey', readonly operator: Operator, readonly hash: string, readonly validity: Validity, readonly origin: RuleOrigin }
  | { readonly kind: 'model', readonly name: string, readonly weightVersion: string, readonly adapters: readonly string[], readonly origin: RuleOrigin }
  | { readonly kind: 'alias', readonly name: string, readonly model: string, readonly origin: RuleOrigin }
  | { readonly kind: 'route', readonly selector: Selector, readonly destination: Destination, readonly origin: RuleOrigin }
  | { readonly kind: 'deny', readonly selector: Selector, readonly origin: RuleOrigin }
  | { readonly kind: 'once', readonly selector: Selector, readonly origin: RuleOrigin }
  | { readonly kind: 'priority', readonly selector: Selector, readonly value: number, readonly origin: RuleOrigin }
  | { readonly kind: 'worth', readonly selector: Selector, readonly value: number, readonly origin: RuleOrigin }
  /** `value` is in ms. */
  | { readonly kind: 'deadline', readonly selector: Selector, readonly value: number, readonly origin: RuleOrigin }
  | { readonly kind: 'limit', readonly selector: Selector, readonly limit: WorkspaceLimit, readonly origin: RuleOrigin }

/** Where a route leads. */
export type Destination =
  | { readonly kind: 'any' }
  | { readonly kind: 'listed', readonly endpoints: readonly string[], readonly dataCentres: readonly string[] }

/** A model of the rules file. */
export interface RuledModel {
  readonly weightVersion: string
  readonly adapters: readonly string[]
}

/** The rules in force, indexed for decisions. */
export interface Ruleset {
  readonly rules: readonly Rule[]
  /** Answers a query; equal queries get equal answers. */
  readonly decide: (query: RuleQuery) => RuleDecision
  /** The workspace of a caller key given by its SHA-256 in lower-case hexadecimal, if the key is valid at `now`. */
  readonly workspaceOfKey: (hash: string, now: number) => string | undefined
  /** The operator of an operator key, likewise. */
  readonly operatorOfKey: (hash: string, now: number) => Operator | undefined
  /** Declared workspaces in file order. */
  readonly workspaces: () => readonly string[]
  /** Declared models by name; aliases are not listed. */
  readonly models: () => ReadonlyMap<string, RuledModel>
  /** Alias to model. */
  readonly aliases: () => ReadonlyMap<string, string>
  /** A workspace's limits: the lowest of every line that selects it. */
  readonly limits: (workspace: string) => WorkspaceLimit
}

/** What is wrong in a rules file, at a place. */
export interface RuleError {
  readonly code:
    | 'unknownVerb' | 'unknownKey' | 'repeatedKey' | 'missingKey' | 'missingName' | 'badValue'
    | 'missingTarget' | 'unexpectedTarget' | 'missingAsker' | 'lineTooLong' | 'fileTooLong'
    | 'repeatedName' | 'undeclaredWorkspace' | 'undeclaredModel' | 'undeclaredAdapter'
  /** From 1. */
  readonly line: number
  /** From 1. */
  readonly column: number
  readonly key?: string
  readonly found: string
  readonly allowed: string
}
