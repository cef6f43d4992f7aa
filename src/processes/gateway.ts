/** The process of a gateway: connects the core to its network adapters and to the platform. All inputs pass through one function on one thread. */
import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import { createConnector } from '../adapters/connectionEnds.js'
import { createFrontServer } from '../adapters/frontServer.js'
import { createPeerTcp } from '../adapters/peerTcp.js'
import { startStatusServer } from '../adapters/statusServer.js'
import { createWorkerChannels } from '../adapters/workerChannels.js'
import { connectionLimitsOf, type ConnectionLimits } from '../callerConnections/connectionLimit.js'
import { assertNever } from '../errors.js'
import { boundsOf } from '../gateway/gatewayBounds.js'
import { createErrorReports } from '../gateway/errorReports.js'
import { createGateway, tickInterval } from '../gateway/gatewayMachine.js'
import type { GatewayEffect, GatewayInput, GatewayLogEvent } from '../gateway/gatewayTypes.js'
import { heldBound } from '../heldBytes/heldBound.js'
import { loadHash } from '../hash.js'
import { splitHostPort } from '../hostPort.js'
import type { Moment } from '../lease/readLease.js'
import { createLogger, droppedLines, type Logger } from '../logger.js'
import { createGatewayMetrics } from '../metrics/gatewayMetrics.js'
import type { Platform } from '../ports/platformPort.js'
import { createRandom } from '../random.js'
import type { BodyRefusal } from '../requestBodies/requestBodies.js'
import type { GatewaySettings } from '../settings/gatewaySettings.js'
import type { ReaderCut } from '../slowReaders/slowReaders.js'
import { readDescriptorLimit } from './processDescriptors.js'
import { processMemory, readMemoryLimits } from './processMemory.js'

/** A running gateway. */
export interface GatewayProcess {
  /** Resolves once the gateway has shut down. */
  readonly ended: Promise<void>
  /** Starts a graceful shutdown, which lets requests in progress complete; `signalledAt` is when the signal was received, on the steady clock, in ms. */
  readonly shutDown: (signalledAt?: number) => void
  /** Applies changed settings. Limits take effect at once; addresses do not change. */
  readonly reload: (settings: GatewaySettings) => void
  /** Counts and logs an unexpected error of a place. */
  readonly reportError: (place: string, error: unknown) => void
}

/** Maximum size of a request's headers, in bytes. */
const headerBytes = 16_384
/** Maximum size of a message between instances, in bytes. */
const frameLimit = 4_194_304
/**
 * Time limit for connecting to a peer, in ms. The instances of a fleet are close
 * to each other, and one without power does not respond at all.
 */
const peerConnectTimeout = 500
/** Unit of the memory in the settings, in bytes. */
const bytesPerMegabyte = 1_000_000
/** Delay before reconnecting to a peer, in ms. It is short, since after a power failure all instances may start again at the same time. */
const peerReconnectDelay = 400
/** Time for sending the remaining bytes before the process exits, in ms. */
const flushDelay = 150

/** Bounds for what is held for callers, in bytes. */
interface HeldBounds {
  readonly unread: number
  readonly bodies: number
}

const heldBounds = ({ memory }: GatewaySettings): HeldBounds => {
  const available = memory.limit > 0 ? memory.limit * bytesPerMegabyte : processMemory(readMemoryLimits())
  return { unread: heldBound(memory.unread, available), bodies: heldBound(memory.bodies, available) }
}

const limitsOfConnections = ({ listen: { descriptors } }: GatewaySettings): ConnectionLimits => connectionLimitsOf(descriptors > 0 ? descriptors : readDescriptorLimit())

/** Reads the monotonic clock and the wall clock of this process, both in ms. */
export const readClocks = (): Moment => ({ steady: performance.now(), wall: Date.now() })

const delay = (time: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, time) })

const warningKinds: ReadonlySet<GatewayLogEvent['kind']> = new Set(['attemptFailed', 'refused', 'brokenOff', 'workerDoubted', 'dependencyLost', 'garbledPeerMessage'])

const writeLogEvent = (logger: Logger, event: GatewayLogEvent): void => {
  const { kind, ...fields } = event
  if (warningKinds.has(kind)) logger.warn(fields, kind)
  else logger.info(fields, kind)
}

/**
 * Starts a gateway.
 *
 * @param initialSettings - validated settings
 * @param createPlatform - creates the platform from the address of its store, the clocks and what opens its connections
 * @param beforeListening - awaited before callers can connect; by default nothing
 * @returns the running gateway, once it listens on its ports
 */
export const startGateway = async (initialSettings: GatewaySettings, createPlatform: (store: string, clock: () => Moment, connectors: typeof createConnector) => Platform, beforeListening: () => Promise<void> = async () => {}): Promise<GatewayProcess> => {
  const { instance, listen } = initialSettings
  const logger = createLogger(instance.id, instance.log_level)
  const incarnation = `${Date.now().toString(36)}-${randomBytes(4).toString('hex')}`
  const platform = createPlatform(initialSettings.platform.store, readClocks, createConnector)
  let bounds = boundsOf(initialSettings)
  let held = heldBounds(initialSettings)
  let connectionLimits = limitsOfConnections(initialSettings)
  const hash = await loadHash()
  const gateway = createGateway({
    self: { id: instance.id, incarnation, dataCentre: instance.data_centre, front: listen.front, peer: { host: instance.host, port: listen.peer_port }, capacity: instance.processors * instance.processor_speed },
    bounds: () => bounds,
    hash,
    random: createRandom(randomBytes(4).readInt32BE())
  })
  const metrics = createGatewayMetrics(() => ({ ...gateway.gauges(readClocks()), unreadBytes: front.unreadBytes(), bodyBytes: front.bodyBytes(), droppedLines: droppedLines() }))

  const reports = createErrorReports({
    count: metrics.internalError,
    write: ({ kind, ...fields }) => logger.error(fields, kind)
  })
  const reportError = (place: string, error: unknown): void => reports(place, error, readClocks().steady)

  const receive = (input: GatewayInput): void => {
    for (const effect of gateway.handle(input, readClocks())) performOrReport(effect)
  }

  /** An attempt whose request may have been sent in part has failed; the front server itself ends the requests of callers whose effects fail. */
  const performOrReport = (effect: GatewayEffect): void => {
    try {
      perform(effect)
    } catch (error) {
      reportError(effect.kind, error)
      if (effect.kind !== 'attempt.send' && effect.kind !== 'relay.send') return
      const { attempt } = effect
      queueMicrotask(() => receive({ kind: 'attempt.failed', attempt, failure: 'garbled' }))
    }
  }

  const onReaderCut = (cut: ReaderCut & { readonly id: string }): void => {
    metrics.readerCut(cut.told)
    logger.warn({ id: cut.id, workspace: cut.workspace, held: cut.held, stalled: cut.stalled, told: cut.told, bound: held.unread }, 'slowReaderCut')
  }
  const onBodyRefused = (refusal: BodyRefusal & { readonly id: string }): void => {
    metrics.bodyRefused(refusal.reason)
    logger.warn({ id: refusal.id, reason: refusal.reason, workspace: refusal.workspace, held: refusal.held, stalled: refusal.stalled, bodies: front.bodyBytes(), bound: held.bodies }, 'bodyRefused')
  }
  const front = createFrontServer({ ...splitHostPort(listen.front), headerBytes, decode: platform.codec.decodeCall, nameRequest: platform.codec.nameRequest, onConnectionClosed: metrics.callerConnectionClosed, reportError, unreadBound: () => held.unread, bodiesBound: () => held.bodies, maxConnections: () => connectionLimits.callers, workspaceOfKey: gateway.workspaceOfKey, onReaderCut, onBodyRefused }, receive)
  const channels = createWorkerChannels({ codec: platform.codec, emit: receive, onConnectionOpened: metrics.connectionOpened, reportError })
  const peers = createPeerTcp({ id: instance.id, incarnation, host: instance.host, port: listen.peer_port, frameLimit, connectTimeout: peerConnectTimeout, reconnectDelay: peerReconnectDelay }, {
    emit: receive,
    garbled: problem => metrics.platformError(problem),
    reportError,
    sent: () => { /* Bytes between instances are not counted here. */ },
    received: () => { /* Bytes between instances are not counted here. */ }
  })
  const servers: Server[] = []
  let resolveEnded: () => void = () => { /* Replaced by the promise below. */ }
  const ended = new Promise<void>(resolve => { resolveEnded = resolve })

  const exit = async (within: number): Promise<void> => {
    await Promise.race([front.flushed(), delay(within)])
    clearInterval(timer)
    await delay(flushDelay)
    const left = { requests: front.countRequests(), connections: front.countConnections() }
    front.destroy()
    peers.close()
    for (const server of servers) {
      server.close()
      server.closeAllConnections()
    }
    await Promise.all([link.close(), channels.close()])
    logger.info({ ...left, dropped: droppedLines() }, 'stopped')
    resolveEnded()
  }

  const perform = (effect: GatewayEffect): void => {
    switch (effect.kind) {
      case 'call.answer':
      case 'call.open':
      case 'call.write':
      case 'call.end':
      case 'call.abort': return front.perform(effect)
      case 'attempt.send': return channels.send(effect.attempt, effect.dispatch)
      case 'relay.send': return channels.relay(effect.attempt, effect.relay)
      case 'worker.probe': return channels.probe(effect.worker, effect.address)
      case 'attempt.cancel': return channels.cancel(effect.attempt)
      case 'peer.send': return peers.perform(effect)
      case 'peer.reset': return peers.reset(effect.to)
      case 'member.announce':
      case 'member.withdraw':
      case 'store.read':
      case 'configuration.read':
      case 'workers.read':
      case 'parts.follow':
      case 'streams.append':
      case 'streams.read':
      case 'claim.read':
      case 'claim.append':
      case 'order.send':
      case 'worker.ask': return link.perform(effect)
      case 'gateway.peers': return peers.setAddresses(new Map(effect.members.map(({ id, peer }) => [id, peer])))
      case 'gateway.limits': return front.setLimits(effect)
      case 'gateway.closing': return front.setClosing()
      case 'gateway.closeFront':
        logger.info(front.countConnections(), 'listenerClosed')
        return front.closeListener()
      case 'gateway.exit':
        exit(effect.within)
        return
      case 'gateway.error': return reportError(effect.place, effect.error)
      case 'gateway.note':
        metrics.countEvent(effect.note)
        return writeLogEvent(logger, effect.note)
      default: assertNever(effect)
    }
  }

  const directoryAnswer = () => {
    const { addresses, ttl } = gateway.directory(readClocks())
    return { status: 200, contentType: 'application/json', body: platform.statusRoutes.encodeDirectory(addresses, ttl) }
  }
  const readyAnswer = () => {
    const ready = gateway.isReady(readClocks())
    return { status: ready ? 200 : 503, contentType: 'text/plain', body: ready ? 'ready\n' : 'not ready\n' }
  }
  const statusLimit = (): number => connectionLimits.status
  const ready = splitHostPort(listen.ready)
  const directory = splitHostPort(listen.directory)
  servers.push(
    await startStatusServer(ready.host, ready.port, { [platform.statusRoutes.readyPath]: readyAnswer }, statusLimit, reportError),
    await startStatusServer(directory.host, directory.port, { [platform.statusRoutes.directoryPath]: directoryAnswer }, statusLimit, reportError),
    await startStatusServer(instance.host, listen.metrics_port, {
      '/metrics': async () => ({ status: 200, contentType: metrics.registry.contentType, body: await metrics.registry.metrics() }),
      '/dump': () => ({ status: 200, contentType: 'application/json', body: JSON.stringify(gateway.dump(readClocks())) })
    }, statusLimit, reportError)
  )
  const link = platform.open(receive, problem => {
    metrics.platformError(problem.kind)
    logger.warn(problem, 'platformTrouble')
  })
  await peers.listen()
  await beforeListening()
  await front.listen()
  const timer = setInterval(() => receive({ kind: 'tick' }), tickInterval)
  logger.info({ incarnation, front: listen.front, store: initialSettings.platform.store }, 'started')

  return {
    ended,
    reportError,
    shutDown: signalledAt => receive({ kind: 'gateway.leave', signalledAt }),
    reload: settings => {
      bounds = boundsOf(settings)
      held = heldBounds(settings)
      connectionLimits = limitsOfConnections(settings)
      logger.info({ bounds }, 'reloaded')
    }
  }
}
