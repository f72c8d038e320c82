import { sleep } from '#process/clock'
import type { SystemNode } from '#standin/system'
import {
  Outcome, addStorage, comeBack, hasTrouble, isRetired, kill, recoveryMs, retire, waitUntil
} from './common.js'
import type { Run } from './common.js'

export interface OutageOptions {
  /// When a machine is removed for good, counted from the order to retire another one; null for when that one has been
  /// removed too.
  readonly removedAfterMs: number | null
}

const turnIntervalMs = 40
const warmUpMs = 4000
const afterRetirementMs = 4000
const retirementTimeoutMs = 10_000
/// The machine that comes for one that was removed arrives so much later.
const successorAfterMs = 1000
/// catch_up_s and contact_ms, and then some.
const successorTimeMs = 12_000
const downMs = 1000
const probeMs = 4000
const programTokens = 1200

/// One storage machine is retired, a second one is removed for good and has a successor. When the successor has had its
/// time, a third one loses its disk. Without the disruption the second one stays. After the recovery time, programs are
/// started.
export async function playOutage (run: Run, { removedAfterMs }: OutageOptions): Promise<Outcome> {
  const system = await run.startSystem({ entries: 3, storages: 3, engines: 2, services: 1 })
  const [retired, removed, wiped] = system.storages as [SystemNode, SystemNode, SystemNode]
  const options = { tokenBudget: programTokens }
  const sendFor = async (durationMs: number): Promise<number> => {
    const endMs = performance.now() + durationMs
    const results = await run.sendFirstTurns(system, turnIntervalMs, () => performance.now() > endMs, options)
    return results.filter(({ status }) => status === 200).length / results.length
  }
  const before = await sendFor(warmUpMs)
  retire(system, retired)
  run.write(`the operator retires ${retired.name}`)
  const removal = (async () => {
    const isCompleted = await waitUntil(() => isRetired(system, retired), retirementTimeoutMs)
    run.write(`the retirement of ${retired.name} is completed: ${isCompleted}`)
    if (isCompleted) await kill(retired)
  })()
  if (removedAfterMs === null) {
    await removal
    await sleep(afterRetirementMs)
  } else await sleep(removedAfterMs)
  if (hasTrouble) {
    await kill(removed)
    run.write(`${removed.name} is removed for good`)
  }
  await sleep(successorAfterMs)
  await addStorage(system)
  run.write(`${system.storages.at(-1)!.name} is added`)
  await Promise.all([removal, sleep(successorTimeMs)])
  const middle = await sendFor(warmUpMs)
  await kill(wiped)
  run.write(`${wiped.name} stops and loses its disk`)
  await sleep(downMs)
  await comeBack(system, wiped, true)
  run.write(`${wiped.name} starts with an empty disk`)
  await sleep(recoveryMs)
  const after = await sendFor(probeMs)
  run.say(`shares served: ${before.toFixed(2)} at first, ${middle.toFixed(2)} before the loss of the disk, ` +
    `${after.toFixed(2)} later than recovery_s after it`)
  return middle >= 0.25 && after < 0.25 ? Outcome.broken : Outcome.held
}
