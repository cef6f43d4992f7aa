/** Certificates and keys for TLS, read from files and read again on request. */
import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'

/** What a TLS server and a TLS client need; both sides are authenticated. */
export interface Credentials {
  readonly server: { readonly ca: string, readonly cert: string, readonly key: string }
  /** Registers what to do when the files were read again. */
  readonly onReload: (listener: (renewed: Credentials) => void) => void
  /** Reads the files again; the old ones are kept if these cannot be read or do not fit together. */
  readonly reload: () => boolean
}

/** Names of the PEM files. */
export interface CredentialFiles {
  readonly ca: string
  readonly cert: string
  readonly key: string
}

/**
 * Reads credentials.
 *
 * @param files - PEM files
 * @returns the credentials
 */
export const loadCredentials = (files: CredentialFiles): Credentials => {
  const read = () => ({ ca: readFileSync(files.ca, 'utf8'), cert: readFileSync(files.cert, 'utf8'), key: readFileSync(files.key, 'utf8') })
  const listeners: ((renewed: Credentials) => void)[] = []
  let server = read()

  const reload = (): boolean => {
    try {
      const renewed = read()
      createSecureContext(renewed)
      server = renewed
    } catch {
      return false
    }
    for (const listener of listeners) listener(credentials)
    return true
  }

  const credentials: Credentials = {
    get server () { return server },
    onReload: listener => { listeners.push(listener) },
    reload
  }
  return credentials
}
