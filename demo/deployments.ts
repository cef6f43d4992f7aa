/** The two deployments of the demonstration: their instances, engine speeds, prompts and service calls. */

/** A template for model requests. Their prompts form a tree of three levels: a root, branches and leaves. */
export interface PromptTemplate {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
  /** Text of the first level, which all requests of the template share. */
  readonly root: string
  /** Number of different texts on the second level. */
  readonly branches: number
  /** Number of different texts on the third level under each text on the second. */
  readonly leaves: number
  readonly maxTokens: number
  /** Frequency relative to the other templates. */
  readonly share: number
}

/** The target of service calls that must run at most once. */
export interface BookingTarget {
  readonly workspace: string
  readonly path: string
}

/** A deployment to demonstrate. */
export interface Deployment {
  readonly title: string
  /** Folder with its settings files and rules. */
  readonly example: string
  /** Settings file in that folder on which the settings of all instances are based. */
  readonly settings: string
  /** Entry instances; `size` is relative to an ordinary machine. */
  readonly instances: ReadonlyArray<{ readonly id: string, readonly dataCentre: string, readonly size: number }>
  /** Prefill speeds in tokens per second, assigned to the workers in rotation. */
  readonly prefillSpeeds: readonly number[]
  /** Times between generated tokens in ms, assigned to the workers in rotation. */
  readonly decodeTimes: readonly number[]
  /** Number of concurrent loads of model weights that run at full speed. */
  readonly parallelWeightLoads: number
  readonly prompts: readonly PromptTemplate[]
  readonly bookings: readonly BookingTarget[]
}

/** Harrowgate: six workers, eight workspaces, three data centres. */
const harrowgate: Deployment = {
  title: 'Harrowgate',
  example: 'examples/harrowgate',
  settings: 'nm-derby-e1.ini',
  instances: [
    { id: 'nm-derby-e1', dataCentre: 'nm-derby', size: 1 },
    { id: 'nm-leicester-e1', dataCentre: 'nm-leicester', size: 1 },
    { id: 'nm-nottingham-e1', dataCentre: 'nm-nottingham', size: 1 },
    { id: 'nm-derby-e2', dataCentre: 'nm-derby', size: 0.5 }
  ],
  prefillSpeeds: [60_000, 40_000, 40_000, 25_000, 15_000, 15_000],
  decodeTimes: [10, 12, 12, 16, 20, 20],
  parallelWeightLoads: 2,
  prompts: [
    { workspace: 'listings', model: 'drafter', adapter: 'branch', weightVersion: '7', root: 'House style of the agency for property descriptions.', branches: 5, leaves: 8, maxTokens: 40, share: 5 },
    { workspace: 'guidance', model: 'classifier', weightVersion: '3', root: 'Agency guidance on the classification of listings.', branches: 4, leaves: 10, maxTokens: 8, share: 4 },
    { workspace: 'negotiators', model: 'drafter', weightVersion: '7', root: 'How particulars are told to negotiators.', branches: 3, leaves: 6, maxTokens: 24, share: 2 }
  ],
  bookings: [{ workspace: 'viewings', path: '/v1/services/bookings/bookings' }]
}

/** Wspólny Tor: thirteen workers, eight workspaces, three data centres. */
const wspolnyTor: Deployment = {
  title: 'Wspólny Tor',
  example: 'examples/wspolny-tor',
  settings: 'waw-a-e1.ini',
  instances: [
    { id: 'waw-a-e1', dataCentre: 'waw-a', size: 1 },
    { id: 'waw-b-e1', dataCentre: 'waw-b', size: 1 },
    { id: 'waw-c-e1', dataCentre: 'waw-c', size: 1 },
    { id: 'waw-a-e2', dataCentre: 'waw-a', size: 0.5 }
  ],
  prefillSpeeds: [60_000, 60_000, 40_000, 40_000, 20_000, 40_000, 40_000, 25_000, 15_000, 40_000, 25_000, 15_000, 15_000],
  decodeTimes: [10, 10, 12, 12, 16, 12, 12, 16, 20, 12, 16, 20, 20],
  parallelWeightLoads: 3,
  prompts: [
    { workspace: 'dispatch', model: 'assistant', weightVersion: '12', root: 'Rules of the co-operative for dispatchers.', branches: 6, leaves: 6, maxTokens: 24, share: 4 },
    { workspace: 'manifests', model: 'summary', adapter: 'member', weightVersion: '5', root: 'Rules of the co-operative for route manifests.', branches: 6, leaves: 8, maxTokens: 40, share: 4 },
    { workspace: 'shops', model: 'assistant', adapter: 'member', weightVersion: '12', root: 'Rules of the co-operative for shop clerks.', branches: 4, leaves: 6, maxTokens: 24, share: 3 }
  ],
  bookings: [{ workspace: 'households', path: '/v1/services/slots/slots' }]
}

/** Both deployments. */
export const deployments: readonly Deployment[] = [harrowgate, wspolnyTor]
