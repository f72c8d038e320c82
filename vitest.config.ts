import { defineConfig } from 'vitest/config'

export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'], externalConditions: ['source'] } },
  test: {
    include: ['**/test/**/*.test.ts'],
    exclude: ['node_modules/**', 'dist/**'],
    setupFiles: ['knownred.setup.ts'],
    testTimeout: 20_000
  }
})
