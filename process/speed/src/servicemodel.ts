import { DecayingRegression } from './regression.js'

/// What an attempt showed of the instance that ran it. Times are in milliseconds from its start.
export interface ResponseObservation {
  /// Calls of one kind take about as long as one another: the name of the route.
  readonly kind: string
  readonly isEngine: boolean
  /// Whether the response ended as it should. If not, its duration only bounds that of the work from below.
  readonly isComplete: boolean
  readonly durationMs: number
  /// Calls at the instance while this one ran, including this one.
  readonly running: number
  /// Null if the response had no event.
  readonly firstEventMs: number | null
  /// From the first to the last event.
  readonly eventsMs: number
  readonly eventCount: number
  /// Prompt tokens that the instance had to process; null if that isn't known well enough to learn from.
  readonly uncachedTokens: number | null
}

/// How much longer something took than is usual in the service, as a logarithm.
export interface SpeedSample {
  readonly log: number
  readonly weight: number
}

/// Also the highest rate that is learned: an instance may have cached parts for other entries, so prompts seem to be
/// processed faster than they are, and a rate that is too high makes calls leave the instances that have their prefix.
const initialPrefillTokensPerMs = 299
const minPrefillTokensPerMs = 20
/// Of samples of the prefill time, in tokens squared: ten samples that differ by 1,000 tokens outweigh it.
const priorPrefillSpread = 2_500_000
/// Times further from their prediction than this logarithm count as outliers.
const maxLogResidual = 1
/// A single sample counts as no more than this.
const maxSampleLog = Math.log(4)
const minEventsForGap = 8
/// The time to the first event also depends on what else the instance prefills, the gaps are means of many.
const firstEventWeight = 0.3
const unfinishedWeight = 0.6
/// An attempt that was given up says something if it took this factor longer than is usual.
const minUnfinishedLog = Math.log(2)
const maxKinds = 200

/// What is usual in a service, learned from the responses of all its instances: how long calls take, by the calls that
/// run beside them, and how fast its engines process prompts.
export class ServiceModel {
  private readonly durations = new Map<string, DecayingRegression>()
  private readonly gaps = createLoadRegression()
  private readonly firstEvents = new DecayingRegression({
    priorSlope: 1 / initialPrefillTokensPerMs,
    priorSpread: priorPrefillSpread,
    minSlope: 1 / initialPrefillTokensPerMs,
    maxSlope: 1 / minPrefillTokensPerMs,
    getMaxResidual: predictedMs => 20 + Math.max(0, predictedMs) / 2
  })

  get prefillTokensPerMs (): number {
    return 1 / this.firstEvents.slope
  }

  /// Learns from a response and returns what it says about its instance. `factor` is how much longer work is expected
  /// to take there than is usual.
  observe (observation: ResponseObservation, factor: number): SpeedSample[] {
    return observation.isComplete ? this.observeComplete(observation, factor) : this.observeUnfinished(observation)
  }

  private observeComplete (observation: ResponseObservation, factor: number): SpeedSample[] {
    const { kind, isEngine, durationMs, running, firstEventMs, eventsMs, eventCount, uncachedTokens } = observation
    const load = getLoadLog(running)
    const samples: SpeedSample[] = []
    const durationLog = learnLog(this.getDurations(kind), load, durationMs)
    if (!isEngine && durationLog !== null) samples.push(createSample(durationLog, 1))
    if (!isEngine || firstEventMs === null) return samples
    // Events that have come all at once were held up on their way.
    if (eventCount >= minEventsForGap && eventsMs > 0) {
      const gapLog = learnLog(this.gaps, load, eventsMs / (eventCount - 1))
      if (gapLog !== null) samples.push(createSample(gapLog, 1))
    }
    if (uncachedTokens === null) return samples
    const predictedMs = this.firstEvents.predict(uncachedTokens)
    this.firstEvents.add(uncachedTokens, firstEventMs / factor)
    if (predictedMs !== null) samples.push(createSample(getLogRatio(firstEventMs, predictedMs), firstEventWeight))
    return samples
  }

  private observeUnfinished (observation: ResponseObservation): SpeedSample[] {
    const { kind, isEngine, durationMs, firstEventMs, running, uncachedTokens } = observation
    if (isEngine && firstEventMs !== null) return []
    const predictedMs = isEngine
      ? this.firstEvents.predict(uncachedTokens ?? 0)
      : this.predictDurationMs(kind, running)
    const log = predictedMs === null ? 0 : getLogRatio(durationMs, predictedMs)
    return log < minUnfinishedLog ? [] : [createSample(log, unfinishedWeight)]
  }

  private predictDurationMs (kind: string, running: number): number | null {
    const log = this.durations.get(kind)?.predict(getLoadLog(running)) ?? null
    return log === null ? null : Math.exp(log)
  }

  private getDurations (kind: string): DecayingRegression {
    let durations = this.durations.get(kind)
    if (durations !== undefined) return durations
    if (this.durations.size >= maxKinds) this.durations.clear()
    durations = createLoadRegression()
    this.durations.set(kind, durations)
    return durations
  }
}

/// Of the logarithm of a time over that of the calls that run at the instance.
function createLoadRegression (): DecayingRegression {
  return new DecayingRegression({
    priorSlope: 0,
    priorSpread: 5,
    minSlope: 0,
    maxSlope: 1,
    getMaxResidual: () => maxLogResidual
  })
}

/// The call itself runs there, even if the instance reports none.
function getLoadLog (running: number): number {
  return Math.log(Math.max(1, running))
}

/// Returns how far the logarithm of the time is from its prediction; null if there is none yet.
function learnLog (regression: DecayingRegression, load: number, timeMs: number): number | null {
  const log = Math.log(Math.max(timeMs, 0.05))
  const predicted = regression.predict(load)
  regression.add(load, log)
  return predicted === null ? null : log - predicted
}

function getLogRatio (timeMs: number, predictedMs: number): number {
  return Math.log(Math.max(timeMs, 1) / Math.max(predictedMs, 1))
}

function createSample (log: number, weight: number): SpeedSample {
  return { log: Math.min(Math.max(log, -maxSampleLog), maxSampleLog), weight }
}
