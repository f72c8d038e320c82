import { defineConfig } from 'vitest/config'

/// Tests that measure what real processes do under load. They run one after the other, when all others have ended.
const loadTests = [
  'process/daemon/test/*.test.ts',
  'standin/{machine/test/system,soak/test/soak,system/test/orphans}.test.ts',
  'process/entry/test/{endlessresponse,latestop,longchain,memorylimit,misbehavingcallers,overload,relayedstop,requestlimit,unequalentries}.test.ts'
]

export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'], externalConditions: ['source'] } },
  test: {
    setupFiles: ['knownred.setup.ts'],
    testTimeout: 20_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'units',
          include: ['**/test/**/*.test.ts'],
          exclude: ['node_modules/**', 'dist/**', ...loadTests],
          sequence: { groupOrder: 0 }
        }
      },
      { extends: true, test: { name: 'load', include: loadTests, maxWorkers: 1, sequence: { groupOrder: 1 } } }
    ]
  }
})
