module.exports = {
  testEnvironment: 'node',
  roots: ['<rootDir>/src', '<rootDir>/platform', '<rootDir>/test'],
  testMatch: ['**/*.spec.ts'],
  // Run by jest.crowd.config.cjs.
  testPathIgnorePatterns: ['/node_modules/', '<rootDir>/platform/crowd/'],
  transform: {
    '^.+\\.ts$': ['@swc/jest', { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'commonjs' } }]
  },
  moduleNameMapper: { '^(\\.{1,2}/.*)\\.js$': '$1' },
  injectGlobals: true,
  testTimeout: 60000
}
