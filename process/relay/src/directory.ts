import type { StoredObject, WatchHandler } from '#connection/store'
import { unitHash } from '#version/configuration'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import type { LoadReport } from './loadreport.js'
import { isSameRegistration, parseRegistration } from './registration.js'
import type { Registration } from './registration.js'

/// Another entry of the system, and what is known of it.
export interface OtherEntry {
  /// Its processors may change; with another address it is another entry.
  registration: Registration
  /// How long a call is expected to take there, as it last said.
  expectedMs: number
  configVersion: number
  isReady: boolean
  /// The processors of the entries that ask it for reports.
  askersProcessors: number
  /// Ticks since it last asked this entry for a report.
  askedTicks: number
  /// Ticks since its last report.
  ageTicks: number
  /// When its last report was read. On the monotonic clock of `performance.now()`.
  reportedAtMs: number
  /// Queries since its last report.
  unansweredQueries: number
  /// No connection is relayed to it until then, after one has failed. On the monotonic clock of `performance.now()`.
  avoidUntilMs: number
  /// Called when the entry stops or has fallen silent, for each connection that is relayed to it.
  readonly onUnavailable: Set<() => void>
  /// Called when it has been silent for so long that it answers no call any more.
  readonly onLoss: Set<() => void>
}

/// What the choice for a connection depends on.
export interface RelayKey {
  /// Connections are spread by a hash of it.
  readonly id: string
  readonly configVersion: number
}

/// An entry that has left as many queries unanswered has fallen silent.
const maxUnansweredQueries = 4
/// An entry that doesn't get the processor for seconds goes on with its calls afterwards.
const maxUnansweredQueriesOfCalls = 10
/// Connections are relayed by reports up to this age.
const maxAgeTicks = 8
/// A report of at most this age says how busy an entry is now. Ticks alone don't tell: they stop while this process
/// does.
const maxCurrentTicks = 2
const maxCurrentMs = 800
/// In the first seconds of a process, how busy another one says it is tells little: it may have started with this one.
const minKnowledgeMs = 4000
/// Age from which a report is asked for again, for entries that are better than this one and for the others.
const refreshTicks = 3
const slowRefreshTicks = 8
/// Of a larger system, an entry knows so many others, chosen by a hash.
const maxCandidates = 24
/// A connection is relayed if its calls are expected to end this much sooner, although passing them on costs this share
/// of the work of serving them.
const minGainMs = 2
const relayCostShare = 0.15
/// An entry at which a call takes less than this is not better than any that is idle, and asks for no reports.
const minExpectedMs = 2.5
/// The way there and back.
const sameZoneMs = 1
const otherZoneMs = 4
const avoidAfterFailureMs = 1000
/// An entry at which a call takes longer may answer late.
const maxPromptMs = 100
/// Callers are asked to reconnect if at least this share of their connections would be relayed.
const minReconnectRoom = 0.5
/// An entry that has asked for a report within so many ticks may relay connections here.
const maxAskedTicks = 4

/// Must be called when bytes of the entry have arrived: it is not lost, though its reports may be.
export function recordBytes (entry: OtherEntry): void {
  entry.unansweredQueries = Math.min(entry.unansweredQueries, maxUnansweredQueries)
}

/// The other entries, from the platform's store and their reports, and which of them a connection should be relayed to.
/// Only an entry that is busy asks the others for reports.
export class EntryDirectory implements WatchHandler {
  private readonly byName = new Map<string, OtherEntry>()
  /// Entries that are listed no more, as long as connections are relayed to them.
  private readonly departed = new Set<OtherEntry>()
  private candidates: readonly OtherEntry[] = []
  private registrations: readonly Registration[] | null = null
  private readonly createdAtMs = performance.now()

  constructor (private registration: Registration, private readonly log: EventLog) {}

  /// This entry.
  get own (): Registration {
    return this.registration
  }

  set own (registration: Registration) {
    this.registration = registration
    if (this.registrations !== null) this.updateMembers()
  }

  /// All other entries; null until they have been listed. Another array after each change, also of this entry.
  get others (): readonly Registration[] | null {
    return this.registrations
  }

  get entries (): readonly OtherEntry[] {
    return this.candidates
  }

  get names (): Iterable<string> {
    return this.byName.keys()
  }

  onObject (name: string, object: StoredObject | null): void {
    const registration = object === null ? null : parseRegistration(object)
    if (name === this.registration.name) return
    const known = this.byName.get(name)
    if (known !== undefined && isSameRegistration(known.registration, registration)) return
    if (known !== undefined && isSamePlace(known.registration, registration)) {
      known.registration = registration!
      return
    }
    this.remove(name)
    if (registration === null) return
    this.byName.set(name, {
      registration,
      expectedMs: 0,
      configVersion: 0,
      isReady: false,
      askersProcessors: 0,
      askedTicks: Infinity,
      ageTicks: Infinity,
      reportedAtMs: -Infinity,
      unansweredQueries: 0,
      avoidUntilMs: 0,
      onUnavailable: new Set(),
      onLoss: new Set()
    })
    this.log.event(Events.entryListed, { entry: name, address: registration.address, zone: registration.zone })
  }

  onMissing (name: string): void {
    this.remove(name)
  }

  onUpdated (): void {
    this.updateMembers()
  }

  recordReport ({ name, expectedMs, configVersion, isReady, isQuery, askersProcessors }: LoadReport): void {
    const entry = this.byName.get(name) ?? [...this.departed].find(({ registration }) => registration.name === name)
    if (entry === undefined) return
    if (isSilent(entry)) this.log.event(Events.entryHeard, { entry: name })
    if (entry.isReady && !isReady) for (const onUnavailable of [...entry.onUnavailable]) onUnavailable()
    const reportedAtMs = performance.now()
    const report = { expectedMs, configVersion, isReady, askersProcessors, reportedAtMs }
    Object.assign(entry, { ...report, ageTicks: 0, unansweredQueries: 0 })
    if (isQuery) entry.askedTicks = 0
  }

  /// Must be called at regular intervals, the ticks in which ages are counted: so a pause of this process doesn't make
  /// the others seem silent. Returns the addresses of the entries that should be asked for a report.
  tick (ownMs: number, configVersion: number): string[] {
    for (const entry of this.byName.values()) {
      entry.ageTicks++
      entry.askedTicks++
    }
    for (const entry of this.departed) {
      entry.ageTicks++
      if (entry.onUnavailable.size === 0) this.departed.delete(entry)
    }
    const asked = [...this.candidates, ...this.departed]
      .filter(entry => this.needsReport(entry, ownMs, configVersion))
    for (const entry of asked) this.countQuery(entry)
    return asked.map(entry => entry.registration.address)
  }

  recordFailure (entry: OtherEntry): void {
    entry.avoidUntilMs = performance.now() + avoidAfterFailureMs
  }

  /// A connection to it was silent at the deadline of a request, so others may be: they get no further calls, unless
  /// the entry is so busy that it may only be late.
  recordSilence (entry: OtherEntry): void {
    this.recordFailure(entry)
    if (entry.expectedMs > maxPromptMs) return
    for (const onUnavailable of [...entry.onUnavailable]) onUnavailable()
  }

  /// The processors of the entries that have lately asked for reports, together.
  get askersProcessors (): number {
    let sum = 0
    for (const { askedTicks, registration } of this.byName.values()) {
      if (askedTicks <= maxAskedTicks) sum += registration.processors
    }
    return sum
  }

  /// Returns the entry to which a connection should be relayed: one at which calls are expected to end sooner than
  /// here, and the more often the sooner; those in this zone first, as far as they have room. `ownMs` is how long a
  /// call is expected to take here.
  choose ({ id, configVersion }: RelayKey, ownMs: number): OtherEntry | null {
    const better = this.findBetter(configVersion, ownMs)
    const nearby = better.filter(entry => this.isNearby(entry))
    const distant = better.filter(entry => !this.isNearby(entry))
    const position = unitHash(`${id}/room`)
    const nearbyRoom = this.sumRoom(nearby)
    if (position < nearbyRoom) return this.pickByHash(nearby, id)
    return position < nearbyRoom + this.sumRoom(distant) ? this.pickByHash(distant, id) : null
  }

  private sumRoom (entries: readonly OtherEntry[]): number {
    return entries.reduce((sum, entry) => sum + this.getRoom(entry), 0)
  }

  /// The share of this entry's connections that the other one can take. All that ask it for reports have the same ones,
  /// so each relays as much as if its processors were divided among them.
  private getRoom ({ registration, askersProcessors }: OtherEntry): number {
    return Math.min(1, registration.processors / Math.max(askersProcessors, this.registration.processors))
  }

  /// Whether most new connections should be relayed.
  hasBetter (configVersion: number, ownMs: number): boolean {
    return this.sumRoom(this.findBetter(configVersion, ownMs)) >= minReconnectRoom
  }

  /// How long a call is expected to take at the slowest of the better entries, by what they say now; `Infinity` if they
  /// have no room for most connections, or this process has just started.
  getBetterMs (configVersion: number, ownMs: number): number {
    if (performance.now() - this.createdAtMs < minKnowledgeMs) return Infinity
    const better = this.findBetter(configVersion, ownMs).filter(isCurrent)
    if (this.sumRoom(better) < minReconnectRoom) return Infinity
    return Math.max(...better.map(entry => this.getExpectedMs(entry)))
  }

  private findBetter (configVersion: number, ownMs: number): OtherEntry[] {
    const keepMs = getKeepMs(ownMs)
    if (keepMs <= minExpectedMs) return []
    const nowMs = performance.now()
    return this.candidates.filter(entry => {
      return entry.isReady && entry.ageTicks <= maxAgeTicks && !isSilent(entry) && entry.avoidUntilMs <= nowMs &&
        entry.configVersion === configVersion && this.getExpectedMs(entry) < keepMs
    })
  }

  /// Weighted rendezvous hashing.
  private pickByHash (entries: readonly OtherEntry[], id: string): OtherEntry | null {
    let best: OtherEntry | null = null
    let bestRank = Infinity
    for (const entry of entries) {
      const weight = this.getRoom(entry) / this.getExpectedMs(entry)
      const rank = -Math.log(unitHash(`${id}/${entry.registration.name}`)) / weight
      if (rank >= bestRank) continue
      best = entry
      bestRank = rank
    }
    return best
  }

  private getExpectedMs (entry: OtherEntry): number {
    return entry.expectedMs + (this.isNearby(entry) ? sameZoneMs : otherZoneMs)
  }

  private isNearby ({ registration }: OtherEntry): boolean {
    return registration.zone === this.registration.zone
  }

  private needsReport (entry: OtherEntry, ownMs: number, configVersion: number): boolean {
    if (entry.onUnavailable.size > 0) return entry.ageTicks > 1
    const keepMs = getKeepMs(ownMs)
    if (keepMs <= minExpectedMs) return false
    if (entry.configVersion !== configVersion) return true
    return entry.ageTicks >= (this.getExpectedMs(entry) < keepMs ? refreshTicks : slowRefreshTicks)
  }

  private countQuery (entry: OtherEntry): void {
    entry.unansweredQueries++
    if (entry.unansweredQueries === maxUnansweredQueriesOfCalls) for (const onLoss of [...entry.onLoss]) onLoss()
    if (entry.unansweredQueries !== maxUnansweredQueries) return
    this.log.event(Events.entrySilent, { entry: entry.registration.name, relayed: entry.onUnavailable.size })
    for (const onUnavailable of [...entry.onUnavailable]) onUnavailable()
  }

  private updateMembers (): void {
    this.registrations = [...this.byName.values()].map(({ registration }) => registration)
    const rank = ({ registration }: OtherEntry): number => unitHash(`${this.registration.name}/${registration.name}`)
    const entries = [...this.byName.values()]
    this.candidates = entries.length <= maxCandidates
      ? entries
      : entries.sort((a, b) => rank(a) - rank(b)).slice(0, maxCandidates)
  }

  private remove (name: string): void {
    const entry = this.byName.get(name)
    this.byName.delete(name)
    // What is listed says nothing of whether the process runs.
    if (entry !== undefined && entry.onUnavailable.size > 0) this.departed.add(entry)
  }
}

function isSamePlace (a: Registration, b: Registration | null): boolean {
  return a.address === b?.address && a.zone === b.zone
}

function isSilent (entry: OtherEntry): boolean {
  return entry.unansweredQueries >= maxUnansweredQueries
}

function isCurrent ({ ageTicks, reportedAtMs }: OtherEntry): boolean {
  return ageTicks <= maxCurrentTicks && performance.now() - reportedAtMs <= maxCurrentMs
}

/// A connection is relayed to an entry at which a call is expected to take less than this.
function getKeepMs (ownMs: number): number {
  return ownMs * (1 - relayCostShare) - minGainMs
}
