/** Starts servers, and keeps an error of a listening server, such as a failed accept, from ending the process. */
import type { AddressInfo, Server } from 'node:net'

/** Reports an unexpected error of a place, one of a fixed set of names. */
export type ReportAdapterError = (place: string, error: unknown) => void

/**
 * Lets a server listen.
 *
 * @param server - the server
 * @param address - where it listens; port 0 takes a free one
 * @param report - receives errors of the server from then on, with the place `listener`
 * @returns the port
 * @throws the server's error if it cannot listen
 */
export const listen = (server: Server, { host, port }: { readonly host: string, readonly port: number }, report: ReportAdapterError): Promise<number> => new Promise((resolve, reject) => {
  server.once('error', reject)
  server.listen(port, host, () => {
    server.off('error', reject)
    server.on('error', error => report('listener', error))
    resolve((server.address() as AddressInfo).port)
  })
})
