import type { DisturbanceContext } from './disturbancecontext.js'

const minCallers = 20
const maxCallers = 150
const minMs = 300
const maxMs = 2000

/// Many callers open connections at one moment, and leave when they have the answers that they wait for after a while.
export async function playBurst ({ log, random, createCaller }: DisturbanceContext): Promise<void> {
  const size = Math.round(random.between(minCallers, maxCallers))
  const durationMs = random.between(minMs, maxMs)
  const startMs = performance.now()
  log.add('signal', null, durationMs, `${size} callers come at once for ${Math.round(durationMs)} ms`)
  const isOver = (): boolean => performance.now() - startMs > durationMs
  const name = `b${Math.round(startMs)}`
  await Promise.all(Array.from({ length: size }, (_, i) => createCaller(`${name}c${i}`).run(isOver)))
}
