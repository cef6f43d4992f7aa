import neostandard, { plugins } from 'neostandard'

const clockAndChance = [
  { object: 'Date', property: 'now', message: 'The present time is an argument.' },
  { object: 'Math', property: 'random', message: 'Take numbers from the seeded generator.' },
  { object: 'performance', property: 'now', message: 'The present time is an argument.' }
]

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'coverage/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    plugins: { 'import-x': plugins['import-x'] },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/adapters/**', 'src/processes/**', 'src/standins/**', 'src/cli/**', '**/*.spec.ts'],
    rules: {
      'no-restricted-properties': ['error', ...clockAndChance],
      'no-restricted-imports': ['error', {
        patterns: [
          { group: ['**/adapters/**', '**/processes/**', '**/standins/**', '**/cli/**', '**/platform/**'], message: 'The core imports no adapter.' },
          { group: ['node:net', 'node:http', 'node:https', 'node:tls', 'node:fs', 'node:timers*', 'undici'], message: 'Sockets, files and timers belong to adapters.' }
        ]
      }]
    }
  }
]
