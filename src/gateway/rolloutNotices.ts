/** Logs what happens in the rollout of weights and tells the other instances of workers that load. */
import { assertNever } from '../errors.js'
import type { Fleet } from '../fleet/fleetMachine.js'
import type { RolloutEvent } from '../rollout/rolloutMachine.js'

/** Where the notices go. */
export interface RolloutNoticeOptions extends Pick<Fleet, 'broadcast'> {
  readonly log: (event: RolloutEvent) => void
}

/**
 * Creates the handler of rollout events.
 *
 * @param options - the log and the other instances
 */
export const createRolloutNotices = ({ log, broadcast }: RolloutNoticeOptions) => (notice: RolloutEvent): void => {
  log(notice)
  switch (notice.kind) {
    case 'loading': return broadcast({ ...notice, kind: 'fleet.loading' })
    case 'loaded': return broadcast({ ...notice, kind: 'fleet.loaded' })
    case 'orderAnswered': return
    default: assertNever(notice)
  }
}
