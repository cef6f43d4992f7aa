/** Types of the reach of workers. */
import type { FleetMessage } from '../fleet/fleetMessages.js'

/** Messages about the reach of workers between instances. */
export type ReachMessage = Extract<FleetMessage, { kind: 'fleet.reachQuestion' | 'fleet.reachAnswer' }>
