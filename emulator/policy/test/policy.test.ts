import { expect, test } from 'vitest'
import { EmulatedEngine, runScenario, policies, scenarios } from '#emulator/policy'

const seed = 3

test('the same seed gives the same result', async () => {
  const play = (): ReturnType<typeof runScenario> => runScenario(scenarios.calm!, policies.chosen!, seed)
  expect(await play()).toEqual(await play())
})

test.each(['calm', 'busy'])('on a %s day nobody is refused', async name => {
  expect((await runScenario(scenarios[name]!, policies.chosen!, seed)).failed).toBe(0)
})

test('with half the engines more programs end in their aim than if every one is begun', async () => {
  const halved = scenarios['half the engines']!
  const chosen = await runScenario(halved, policies.chosen!, seed)
  const greedy = await runScenario(halved, policies['every program begun']!, seed)
  const plain = await runScenario(halved, policies['least loaded']!, seed)
  expect(chosen.weightedGoodput).toBeGreaterThan(greedy.weightedGoodput)
  expect(greedy.weightedGoodput).toBeGreaterThan(plain.weightedGoodput)
})

test('an engine reads a prompt once, and takes the next call in order of arrival', async () => {
  const traits = { slots: 1, stepMs: 1, stepMsPerCall: 0, stepMsPerKContext: 0, prefillTokensPerMs: 100, slowness: 1 }
  const engine = new EmulatedEngine(traits)
  const ends: string[] = []
  const startedAtMs = performance.now()
  const run = (name: string): Promise<number> => new Promise(resolve => engine.run({
    prefix: [{ id: 'shared', tokens: 5000 }],
    outputTokens: 20,
    onFirstToken: () => {},
    onEnd: () => {
      ends.push(name)
      resolve(performance.now() - startedAtMs)
    }
  }))
  const [firstMs, secondMs] = await Promise.all([run('first'), run('second')])
  expect(ends).toEqual(['first', 'second'])
  expect(secondMs - firstMs).toBeLessThan(firstMs)
})
