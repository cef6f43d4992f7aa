/**
 * Types of the routing rules. The rules feature parses the accepted rules file
 * into a `Ruleset`; other features pass it a `RuleQuery` and get a `RuleDecision`.
 */

/** The attributes of a request that rules can match. */
export interface RuleQuery {
  readonly workspace: string
  /** The requested model or alias; set for model requests only. */
  readonly model?: string
  readonly adapter?: string
  /** The called service; set for calls to plain services, that is, without a model. */
  readonly service?: string
  readonly method?: string
  readonly path?: string
}

/** The source line of a rule, and who requested the rule. */
export interface RuleOrigin {
  /** Line number in the rules file, from 1. */
  readonly line: number
  /** The person who requested the rule, from the line's "asked by" comment. */
  readonly asker: string
  /** The asker's team, which owns the line. */
  readonly team: string
  /** The whole line as written, with its comment. */
  readonly text: string
}

/** A workspace's limits. They apply to the sum over all entry instances; an absent limit means unlimited. */
export interface WorkspaceLimit {
  /** Requests per second, averaged over `limitWindow` of `limitsTypes`. */
  readonly requestsPerSecond?: number
  /** Prompt plus generated tokens per second. */
  readonly tokensPerSecond?: number
  /** Maximum number of requests in flight. */
  readonly concurrency?: number
}

/** Why the rules refuse a query. */
export type RuleRefusal = 'unknownWorkspace' | 'unknownModel' | 'unknownAdapter' | 'denied'

/** The result of evaluating the rules for one query. */
export interface RuleDecision {
  readonly allowed: boolean
  /** The reason for the refusal; set if and only if `allowed` is false. */
  readonly refusal?: RuleRefusal
  /** Ids of the endpoints that may serve the request; if undefined, every endpoint with the model or service may. */
  readonly endpoints?: readonly string[]
  /** Data centres whose endpoints may serve the request in addition; set if and only if `endpoints` is. */
  readonly dataCentres?: readonly string[]
  /** The model, with aliases resolved. */
  readonly model?: string
  /** The weight version that must serve the request; if undefined, the newest version in force. */
  readonly weightVersion?: string
  /** Whether the call may be retried; false if it must run at most once. */
  readonly repeatable: boolean
  /** Priority; requests with a higher value are served first. The default is 0. */
  readonly priority: number
  /** Relative value of an answered request. The default is 1. */
  readonly worth: number
  /** Ms from arrival to the first token, or to the response of a service call. */
  readonly deadline: number
  /** The limits of the workspace. */
  readonly limit: WorkspaceLimit
  /** The origin of the rule that decided each attribute, keyed by attribute name; computed on access. */
  readonly because: Readonly<Record<string, RuleOrigin>>
}

/** Conditions on a query. Each value is a glob; an absent field matches any query. */
export interface Selector {
  readonly workspace?: string
  readonly model?: string
  readonly service?: string
  readonly adapter?: string
  readonly method?: string
  readonly path?: string
}

/** The validity period of a key, in ms since the Unix epoch: `from` inclusive, `until` exclusive. An absent bound is open. */
export interface Validity {
  readonly from?: number
  readonly until?: number
}

/**
 * The permissions of an operator key: `read` reads everything, `publish` also changes
 * its team's lines for its workspaces, `fleet` also publishes any change.
 */
export type OperatorRole = 'read' | 'publish' | 'fleet'

/** The operator identity that an operator key carries. */
export interface Operator {
  /** The permissions of the key. */
  readonly role: OperatorRole
  /** The team whose lines a `publish` key may change. */
  readonly team: string
  /** The workspaces whose lines a `publish` key may change. */
  readonly workspaces: readonly string[]
}

/** One rule of a rules file; each rule takes one line. */
export type Rule =
  | {
    readonly kind: 'workspace'
    readonly name: string
    readonly worth?: number
    readonly priority?: number
    /** Default deadline of the workspace, in ms. */
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

/** The endpoints that a `route` rule admits: any, or those listed by id or by data centre. */
export type Destination =
  | { readonly kind: 'any' }
  | { readonly kind: 'listed', readonly endpoints: readonly string[], readonly dataCentres: readonly string[] }

/** A model declared in the rules file. */
export interface DeclaredModel {
  /** The weight version in force. */
  readonly weightVersion: string
  /** Names of the adapters that requests may select. */
  readonly adapters: readonly string[]
}

/** The rules in force, indexed for decisions. */
export interface Ruleset {
  /** The rules in file order. */
  readonly rules: readonly Rule[]
  /** Decides a query. The result is deterministic: equal queries get equal decisions. */
  readonly decide: (query: RuleQuery) => RuleDecision
  /**
   * Looks up the workspace of a caller key by the key's SHA-256 in lower-case hexadecimal;
   * undefined if no such key is valid at `now` (ms since the Unix epoch).
   */
  readonly workspaceOfKey: (hash: string, now: number) => string | undefined
  /** Looks up the operator of an operator key; arguments and result as for `workspaceOfKey`. */
  readonly operatorOfKey: (hash: string, now: number) => Operator | undefined
  /** The names of the declared workspaces in file order. */
  readonly workspaces: () => readonly string[]
  /** The declared models by name, without aliases. */
  readonly models: () => ReadonlyMap<string, DeclaredModel>
  /** The model that each alias stands for. */
  readonly aliases: () => ReadonlyMap<string, string>
  /** The limits of a workspace: for each limit, the lowest value of all rules that select the workspace. */
  readonly limits: (workspace: string) => WorkspaceLimit
}

/** An error in a rules file, with its position. */
export interface RuleError {
  readonly code:
    | 'unknownVerb' | 'unknownKey' | 'repeatedKey' | 'missingKey' | 'missingName' | 'badValue'
    | 'missingTarget' | 'unexpectedTarget' | 'missingAsker' | 'lineTooLong' | 'fileTooLong'
    | 'repeatedName' | 'undeclaredWorkspace' | 'undeclaredModel' | 'undeclaredAdapter'
  /** Line number, from 1. */
  readonly line: number
  /** Column number in characters, from 1. */
  readonly column: number
  /** The key concerned, if any. */
  readonly key?: string
  /** The invalid text, or an empty string if something is missing. */
  readonly found: string
  /** A description of what is allowed in this position. */
  readonly allowed: string
}
