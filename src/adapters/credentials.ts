/** Loads TLS certificates and keys from files, and reloads them on request. */
import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'

/** TLS credentials of an instance, used both as server and as client (mutual TLS). */
export interface Credentials {
  /** The current certificates and key, in PEM form. */
  readonly server: { readonly ca: string, readonly cert: string, readonly key: string }
  /** Registers a listener that is called after each successful reload. */
  readonly onReload: (listener: (renewed: Credentials) => void) => void
  /**
   * Reads the files again. If they cannot be read, or the key does not match the
   * certificate, the previous credentials are kept and the result is `false`.
   */
  readonly reload: () => boolean
}

/** Paths of the PEM files. */
export interface CredentialFiles {
  readonly ca: string
  readonly cert: string
  readonly key: string
}

/**
 * Loads credentials.
 *
 * @param files - paths of the PEM files
 * @returns the credentials
 * @throws the file system's error if a file cannot be read
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
