/** Priorities of requests: the workspace's, else the route's. */
import type { Exchange } from './forwardingTypes.js'

/** What determines the priority of a request. */
export type PrioritizedExchange = Pick<Exchange, 'workspace' | 'route'>

/** Priority of a request; 0 is the highest. */
export const priorityOf = ({ workspace, route }: PrioritizedExchange): number => workspace?.priority ?? route.priority

/** Priority sent to the worker, limited to its ten levels of 0 to 9. */
export const workerPriority = (exchange: PrioritizedExchange): number => Math.max(0, Math.min(9, priorityOf(exchange)))
