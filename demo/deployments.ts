/** The two deployments as the demonstration plays them: instances, speeds, prompts and calls. */

/** A model request of the workload. */
export interface PromptKind {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
  /** Text of the level that all requests share. */
  readonly root: string
  /** Number of texts on the second level, and of each of these on the third. */
  readonly branches: number
  readonly leaves: number
  readonly maxTokens: number
  /** Relative frequency. */
  readonly share: number
}

/** A call that may run at most once. */
export interface BookingKind {
  readonly workspace: string
  readonly path: string
}

/** A deployment. */
export interface Deployment {
  readonly title: string
  /** Folder of its settings and rules. */
  readonly example: string
  readonly settings: string
  readonly instances: ReadonlyArray<{ readonly id: string, readonly dataCentre: string, readonly size: number }>
  /** Prefill speeds in tokens per second, given to the workers in turn. */
  readonly prefillSpeeds: readonly number[]
  /** Times between tokens in ms, given to the workers in turn. */
  readonly decodeTimes: readonly number[]
  readonly loadsAtOnce: number
  readonly prompts: readonly PromptKind[]
  readonly bookings: readonly BookingKind[]
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
  loadsAtOnce: 2,
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
  loadsAtOnce: 3,
  prompts: [
    { workspace: 'dispatch', model: 'assistant', weightVersion: '12', root: 'Rules of the co-operative for dispatchers.', branches: 6, leaves: 6, maxTokens: 24, share: 4 },
    { workspace: 'manifests', model: 'summary', adapter: 'member', weightVersion: '5', root: 'Rules of the co-operative for route manifests.', branches: 6, leaves: 8, maxTokens: 40, share: 4 },
    { workspace: 'shops', model: 'assistant', adapter: 'member', weightVersion: '12', root: 'Rules of the co-operative for shop clerks.', branches: 4, leaves: 6, maxTokens: 24, share: 3 }
  ],
  bookings: [{ workspace: 'households', path: '/v1/services/slots/slots' }]
}

/** Both deployments. */
export const deployments: readonly Deployment[] = [harrowgate, wspolnyTor]
