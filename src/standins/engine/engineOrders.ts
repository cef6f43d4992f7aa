/** Validation and execution of orders that load or unload models or set the role, with or without fencing. */
import { z } from 'zod'
import type { LoadedModel } from '../../endpoints/endpointsTypes.js'
import type { EndpointOrder } from '../../ports/endpointPort.js'
import type { EngineOptions, ReceivedOrder } from './engineTypes.js'

const modelSchema = { model: z.string(), adapter: z.string().optional(), weightVersion: z.string(), fence: z.number() }

const orderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('load'), ...modelSchema }),
  z.object({ kind: z.literal('unload'), ...modelSchema }),
  z.object({ kind: z.literal('role'), role: z.enum(['mixed', 'prefill', 'decode']), fence: z.number() })
])

/** The validated body of an order request; `fence` is the fencing token. */
export type OrderBody = z.infer<typeof orderSchema>

/** Validates and executes orders. */
export interface OrderHandler {
  /** Returns the order in a parsed body, or undefined if the body is not an order. */
  readonly read: (body: unknown) => OrderBody | undefined
  /** Executes an order received at `now`, in ms; resolves when the load has finished or failed. */
  readonly execute: (order: OrderBody, now: number) => Promise<ReceivedOrder>
}

/**
 * Compares two models.
 *
 * @param left - a model
 * @param right - another model
 * @returns whether name, adapter and weight version are equal
 */
export const isSameModel = (left: LoadedModel, right: LoadedModel): boolean =>
  left.model === right.model && left.adapter === right.adapter && left.weightVersion === right.weightVersion

/**
 * Creates the order handler of an engine.
 *
 * @param options - fencing, the URL of the weight store and the load time without it
 * @param models - the loaded models, changed in place
 * @returns the order handler
 */
export const createOrderHandler = ({ fenced = true, weightsUrl, loadTime = 500 }: EngineOptions, models: LoadedModel[]): OrderHandler => {
  let highestFence = -Infinity

  const loadDuration = async ({ model, adapter, weightVersion }: LoadedModel): Promise<number | undefined> => {
    if (weightsUrl === undefined) return loadTime
    try {
      const name = encodeURIComponent(`${model}+${adapter ?? ''}@${weightVersion}`)
      const response = await fetch(`${weightsUrl}/loads/${name}`, { method: 'POST' })
      return z.object({ ms: z.number() }).parse(await response.json()).ms
    } catch {
      return undefined
    }
  }

  const apply = async (order: EndpointOrder): Promise<boolean> => {
    if (order.kind === 'role') return true
    const loadedIndex = models.findIndex(loaded => isSameModel(loaded, order.model))
    if (order.kind === 'unload') {
      if (loadedIndex >= 0) models.splice(loadedIndex, 1)
      return true
    }
    if (loadedIndex >= 0) return true
    const duration = await loadDuration(order.model)
    if (duration === undefined) return false
    await new Promise(resolve => setTimeout(resolve, duration))
    if (!models.some(loaded => isSameModel(loaded, order.model))) models.push(order.model)
    return true
  }

  const execute = async (body: OrderBody, at: number): Promise<ReceivedOrder> => {
    const { fence } = body
    const order: EndpointOrder = body.kind === 'role'
      ? { kind: 'role', role: body.role }
      : { kind: body.kind, model: { model: body.model, adapter: body.adapter, weightVersion: body.weightVersion } }
    if (fenced && fence < highestFence) return { kind: 'order', order, fence, at, result: 'staleFence' }
    highestFence = Math.max(highestFence, fence)
    return { kind: 'order', order, fence, at, result: await apply(order) ? 'done' : 'failed' }
  }

  return { read: body => orderSchema.safeParse(body).data, execute }
}
