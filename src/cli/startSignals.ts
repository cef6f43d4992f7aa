/**
 * The signals of a long-running command from before its settings are read. The
 * start goes on after SIGHUP, and the settings are read again at its end. SIGTERM
 * and SIGINT end the process at once as long as it does not listen for callers;
 * later ones lead to a graceful shutdown, which is told when the signal came.
 */
import { afterNextRead } from '../adapters/nextRead.js'
import { exitCodes } from './output.js'

/** A signal that asks the process to stop, or to read its settings again. */
export type CommandSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP'

/** Where signals come from: the process. */
export interface SignalSource {
  readonly on: (signal: CommandSignal, listener: () => void) => unknown
  readonly off: (signal: CommandSignal, listener: () => void) => unknown
  readonly listeners: (signal: CommandSignal) => readonly unknown[]
}

/** What the started command does with signals. */
export interface SignalHandlers {
  /** Starts a graceful shutdown; `signalledAt` is when the signal was received, on the clock of the start signals, in ms. */
  readonly stop: (signalledAt: number) => void
  /** Reads the settings again. */
  readonly reload: () => void
}

/** Dependencies of the start signals. */
export interface StartSignalOptions {
  readonly source: SignalSource
  /** Ends the process with status 0. */
  readonly exit: () => void
  /** Reads the monotonic clock, in ms. */
  readonly clock: () => number
  /** Calls back once the signals that have come are received. */
  readonly afterPending: (callback: () => void) => void
}

/** The signals of a command that starts. */
export interface StartSignals {
  /** Resolves when the command may listen for callers: not if a signal to stop has come. */
  readonly beforeListening: () => Promise<void>
  /** Passes on the signals that have come since, and all further ones. */
  readonly handOver: (handlers: SignalHandlers) => void
}

/**
 * Receives signals in place of the listeners that the program starts with.
 *
 * @param options - source of the signals, clock, and the way to end the process
 * @returns the signals, to be handed over once the command can act on them
 */
export const followStartSignals = ({ source, exit, clock, afterPending }: StartSignalOptions): StartSignals => {
  let handlers: SignalHandlers | undefined
  let mayListen = false
  let stoppedAt: number | undefined
  let reloadRequested = false

  const stop = (): void => {
    const now = clock()
    if (handlers !== undefined) return handlers.stop(now)
    if (!mayListen) return exit()
    stoppedAt ??= now
  }

  const reload = (): void => {
    if (handlers !== undefined) return handlers.reload()
    reloadRequested = true
  }

  /** A process without any listener for a signal, even for a moment, drops one that has come and is not received yet. */
  const listenInstead = (signal: CommandSignal, listener: () => void): void => {
    const earlier = [...source.listeners(signal)] as (() => void)[]
    source.on(signal, listener)
    for (const former of earlier) source.off(signal, former)
  }

  const beforeListening = (): Promise<void> => new Promise(resolve => afterPending(() => {
    mayListen = true
    resolve()
  }))

  const handOver = (next: SignalHandlers): void => {
    handlers = next
    if (reloadRequested) next.reload()
    if (stoppedAt !== undefined) next.stop(stoppedAt)
  }

  listenInstead('SIGTERM', stop)
  listenInstead('SIGINT', stop)
  listenInstead('SIGHUP', reload)
  return { beforeListening, handOver }
}

/** Follows the signals of this process, from the call on. */
export const followSignalsOfProcess = (): StartSignals => followStartSignals({
  source: { on: (signal, listener) => process.on(signal, listener), off: (signal, listener) => process.off(signal, listener), listeners: signal => process.listeners(signal) },
  exit: () => process.exit(exitCodes.done),
  clock: () => performance.now(),
  afterPending: afterNextRead
})
