import type { InstanceSpeed, SpeedObservations } from './instancespeed.js'

/// What an entry has observed of an instance since it last told others.
export interface SpeedNews extends SpeedObservations {
  readonly instanceId: string
}

/// Bounds the part of a digest that holds observations: at four digests a second of this size, an entry sends 2.4 kB/s.
const maxNewsBytes = 600
/// Of the punctuation and the numbers of an observation as JSON.
const bytesPerObservation = 16
/// Observations with less weight wait for further ones.
const minWeight = 0.25
/// Bounds for what others send: no entry sees more of an instance in the time between two digests that name it.
const maxWeight = 20
const maxMeanLog = Math.log(10)
const maxReceived = 100

/// Takes the observations that weigh most, until the digest is full. Those of the others accumulate and weigh more
/// in the next digests, so that each instance gets its turn.
export function takeSpeedNews (instances: Iterable<readonly [string, InstanceSpeed]>): SpeedNews[] {
  const waiting = [...instances]
    .filter(([, { unsent }]) => unsent.weight >= minWeight)
    .sort(([, a], [, b]) => b.unsent.weight - a.unsent.weight)
  const news: SpeedNews[] = []
  let bytes = 0
  for (const [instanceId, speed] of waiting) {
    bytes += Buffer.byteLength(instanceId) + bytesPerObservation
    if (bytes > maxNewsBytes) break
    news.push({ instanceId, ...speed.unsent })
    speed.markSent()
  }
  return news
}

/// The form in which a digest holds observations, with as few digits as they need.
export function encodeSpeedNews (news: readonly SpeedNews[]): [string, number, number][] {
  return news.map(({ instanceId, sum, weight }) => [instanceId, round(sum), round(weight)])
}

/// Parses what another entry sent. Leaves out what isn't well-formed, and bounds the rest.
export function parseSpeedNews (value: unknown): SpeedNews[] {
  if (!Array.isArray(value)) return []
  return value.slice(0, maxReceived).flatMap((entry: unknown) => {
    if (!Array.isArray(entry)) return []
    const [instanceId, sum, weight] = entry as unknown[]
    if (typeof instanceId !== 'string' || !Number.isFinite(sum) || !Number.isFinite(weight)) return []
    if ((weight as number) <= 0) return []
    const limitedWeight = Math.min(weight as number, maxWeight)
    const mean = Math.min(Math.max((sum as number) / (weight as number), -maxMeanLog), maxMeanLog)
    return [{ instanceId, sum: mean * limitedWeight, weight: limitedWeight }]
  })
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
