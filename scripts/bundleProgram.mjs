// Bundles the program into one file that Node.js runs without node_modules.
import { readFileSync, writeFileSync } from 'node:fs'
import { build } from 'esbuild'

const { version } = JSON.parse(readFileSync('package.json', 'utf8'))
const optionalPackages = ['dtrace-provider', 'mv', 'source-map-support', 'safe-json-stringify', 'cbor-extract']

// Signals of an instance that come before src/cli/startSignals.ts follows them. Until then nothing has been read that SIGHUP could concern, and no request taken.
const earlySignals = `if (['gateway', 'entry'].some(command => process.argv.includes(command))) {
  process.on('SIGHUP', () => {});
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(0));
}
`

// Bunyan and cbor-x require optional packages. In a single executable `require` prints a warning for each, so this wrapper throws MODULE_NOT_FOUND instead.
const optionalPackageGuard = `const optionalPackages = new Set(${JSON.stringify(optionalPackages)});
const missing = name => { const error = new Error('optional package ' + name + ' is not bundled'); error.code = 'MODULE_NOT_FOUND'; throw error };
const builtIn = require;
require = Object.assign(name => optionalPackages.has(name) ? missing(name) : builtIn(name), builtIn);
`

// The entry module of undici loads modules that the program does not use; they take a third of the start-up time.
const unusedModules = /^\.\/lib\/(mock|web|cache|interceptor)\/|^\.\/lib\/dispatcher\/(proxy-agent|socks5-proxy-agent|env-http-proxy-agent|retry-agent|h2c-client)$/
/** esbuild plugin that replaces the unused modules of undici by empty classes. */
const omitUnusedModules = {
  name: 'omit-unused-modules',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: unusedModules }, ({ importer, path }) => importer.endsWith('node_modules/undici/index.js') ? { path, namespace: 'unused' } : undefined)
    onLoad({ filter: /./, namespace: 'unused' }, () => ({ contents: 'module.exports = new Proxy({}, { get: () => class {} })', loader: 'js' }))
  }
}

/**
 * Bundles an entry point and its packages into one CommonJS file.
 *
 * @param entry - path of the entry point
 * @param outfile - path of the bundle
 */
export const bundle = (entry, outfile) => build({
  entryPoints: [entry],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: false,
  external: optionalPackages,
  plugins: [omitUnusedModules],
  define: { WASABIREEL_VERSION: JSON.stringify(version) },
  logLevel: 'error'
})

/**
 * Bundles the program, preceded by handlers of early signals and the guard of optional packages.
 *
 * @param outfile - path of the bundle
 */
export const bundleProgram = async outfile => {
  await bundle('src/cli/main.ts', outfile)
  writeFileSync(outfile, earlySignals + optionalPackageGuard + readFileSync(outfile, 'utf8'))
}
