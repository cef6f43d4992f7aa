/** Orders to an engine: loading and unloading models, with or without fencing. */
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

/** An order as it arrived. */
export type OrderBody = z.infer<typeof orderSchema>

/** Carries out orders. */
export interface Orders {
  readonly read: (body: unknown) => OrderBody | undefined
  readonly carryOut: (order: OrderBody, now: number) => Promise<ReceivedOrder>
}

/**
 * Compares what two rows say to load.
 *
 * @param left - one
 * @param right - the other
 * @returns whether they are the same model, adapter and weights
 */
export const isSameModel = (left: LoadedModel, right: LoadedModel): boolean =>
  left.model === right.model && left.adapter === right.adapter && left.weightVersion === right.weightVersion

/**
 * Creates what carries out orders.
 *
 * @param options - fencing and where weights come from
 * @param models - the loaded models, changed in place
 * @returns the orders
 */
export const createOrders = ({ fenced = true, weightsUrl, loadTime = 500 }: EngineOptions, models: LoadedModel[]): Orders => {
  let highest = -Infinity

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
    const known = models.findIndex(loaded => isSameModel(loaded, order.model))
    if (order.kind === 'unload') {
      if (known >= 0) models.splice(known, 1)
      return true
    }
    if (known >= 0) return true
    const duration = await loadDuration(order.model)
    if (duration === undefined) return false
    await new Promise(resolve => setTimeout(resolve, duration))
    if (!models.some(loaded => isSameModel(loaded, order.model))) models.push(order.model)
    return true
  }

  const carryOut = async (body: OrderBody, at: number): Promise<ReceivedOrder> => {
    const { fence } = body
    const order: EndpointOrder = body.kind === 'role'
      ? { kind: 'role', role: body.role }
      : { kind: body.kind, model: { model: body.model, adapter: body.adapter, weightVersion: body.weightVersion } }
    if (fenced && fence < highest) return { kind: 'order', order, fence, at, result: 'staleFence' }
    highest = Math.max(highest, fence)
    return { kind: 'order', order, fence, at, result: await apply(order) ? 'done' : 'failed' }
  }

  return { read: body => orderSchema.safeParse(body).data, carryOut }
}
