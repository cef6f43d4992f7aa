// Tests that start processes and load the machine: one at a time, apart from the others.
const { roots, testPathIgnorePatterns, ...shared } = require('./jest.config.cjs')

module.exports = { ...shared, roots: ['<rootDir>/platform/crowd'], maxWorkers: 1, testTimeout: 120000 }
