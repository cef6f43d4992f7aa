// Bundles the program into one file that Node.js runs by itself.
import { readFileSync, writeFileSync } from 'node:fs'
import { build } from 'esbuild'

const { version } = JSON.parse(readFileSync('package.json', 'utf8'))
const optional = ['dtrace-provider', 'mv', 'source-map-support', 'safe-json-stringify', 'cbor-extract']

// An instance is sent SIGHUP when its settings change, also while it starts; without a handler that ends it.
const attend = `if (['gateway', 'entry'].some(command => process.argv.includes(command))) process.on('SIGHUP', () => {});
`

// Bunyan and cbor-x ask for optional packages; inside a single executable `require` prints a warning, so they are answered here.
const guard = `const optionalPackages = new Set(${JSON.stringify(optional)});
const missing = name => { const error = new Error('optional package ' + name + ' is left out'); error.code = 'MODULE_NOT_FOUND'; throw error };
const builtIn = require;
require = Object.assign(name => optionalPackages.has(name) ? missing(name) : builtIn(name), builtIn);
`

// The HTTP library's entry loads much that no part of the program uses, which is a third of the time to start.
const unusedParts = /^\.\/lib\/(mock|web|cache|interceptor)\/|^\.\/lib\/dispatcher\/(proxy-agent|socks5-proxy-agent|env-http-proxy-agent|retry-agent|h2c-client)$/
const leaveOut = {
  name: 'leave-out',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: unusedParts }, ({ importer, path }) => importer.endsWith('node_modules/undici/index.js') ? { path, namespace: 'unused' } : undefined)
    onLoad({ filter: /./, namespace: 'unused' }, () => ({ contents: 'module.exports = new Proxy({}, { get: () => class {} })', loader: 'js' }))
  }
}

export const bundle = (entry, outfile) => build({
  entryPoints: [entry],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: false,
  external: optional,
  plugins: [leaveOut],
  define: { WASABIREEL_VERSION: JSON.stringify(version) },
  logLevel: 'error'
})

export const bundleProgram = async outfile => {
  await bundle('src/cli/main.ts', outfile)
  writeFileSync(outfile, attend + guard + readFileSync(outfile, 'utf8'))
}
