import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import { RouteKind } from '#version/configuration'
import type { Route } from '#version/configuration'
import type { LoopBacklog } from '#process/clock'
import { FairShares } from '#process/fairness'
import { RecentPrograms } from './recentprograms.js'
import { RefusedTurns } from './refusedturns.js'
import { Shedding } from './shedding.js'
import { StartPace } from './startpace.js'
import type { StartupPhase } from './startupphase.js'

/// A call that asks for its start.
export interface AdmissionRequest {
  readonly call: Call
  readonly route: Route
  /// 0 is the most urgent.
  readonly priority: number
  /// Name of the workspace that the call counts for; null without one.
  readonly workspace: string | null
  /// On the monotonic clock of `performance.now()`.
  readonly deadlineMs: number
  /// The call gives up its place when it is aborted.
  readonly signal: AbortSignal
  /// Whether another entry relays the connection, since it expects the call to end sooner here.
  readonly isRelayed: boolean
}

interface CallClass {
  /// 0 is the most urgent.
  readonly rank: number
  /// The call is refused if it is expected to wait longer.
  readonly maxWaitMs: number
  /// Since when its caller has tried.
  readonly sinceMs: number
  /// Whether it was refused before.
  readonly isRetry: boolean
}

interface WaitingCall {
  readonly call: Call
  readonly workspace: string | null
  readonly sinceMs: number
  readonly queuedAtMs: number
  readonly maxWaitMs: number
  readonly start: () => void
  readonly refuse: (error: RefusedError) => void
  readonly isAborted: () => boolean
}

/// How often a call waits for the event loop after its start: to connect, for its response, and for turns also for the
/// replies of storage.
const loopPassesByKind: Readonly<Record<RouteKind, number>> = {
  streaming: 6,
  idempotent: 3,
  'non-idempotent': 3
}
/// Share of its remaining time that a call of a running program may be expected to wait.
const maxWaitShare = 0.5
/// Of turns of running programs; those of new programs have higher ranks.
const turnRank = 1
/// Each priority has a queue. Those beyond this share the last one.
const maxPriority = 100
/// While each iteration of the event loop accepts a connection, a call starts only in every n-th of them, sooner if it
/// belongs to a running program.
const iterationsPerStartWhileAccepting = 8
const iterationsPerRunningStartWhileAccepting = 3
/// The shortest time after which a refused caller comes back. It may reach another entry.
const busyRetryAfterMs = 120
/// Callers wait for so much of the time that they have left, at most, before they try again.
const maxRetryAfterShare = 1 / 3
const maxRetryAfterMs = 1000
/// What a retry needs besides: a connection, which may be relayed, and the request once more.
const reconnectMs = 80
/// Other entries that are as busy don't serve the program either.
const shedRetryAfterMs = 800
/// Callers that were refused at the same time come back spread over this share of the delay, either way.
const retryJitter = 0.4

/// Bounds the work in one iteration of the event loop, so that no event waits for long: at most one call starts in an
/// iteration. The others wait here, calls of running programs before new programs, and not in the sockets, where
/// neither their number nor their age is known. A call that would wait too long is refused at once, new programs first:
/// they have lost no work, and can be started later or by another entry. A turn that comes back after a refusal has the
/// place of its first try.
///
/// While connections are accepted, or wait to be served, calls start in few iterations, so that these are short.
export class Admission {
  private readonly programs = new RecentPrograms()
  private readonly shedding = new Shedding()
  private readonly refusedTurns = new RefusedTurns()
  private readonly shares = new FairShares()
  /// By rank, the most urgent first; each by when callers have first tried. Of one rank, calls of workspaces within
  /// their fair share start first.
  private readonly queues: WaitingCall[][] = []
  private isIterationCounted = false
  private hasStarted = false
  /// `Infinity` if no connection was accepted in this iteration, and none waits.
  private acceptingSinceMs = Infinity
  private iterationsSinceStart = 0
  private lastStartAtMs = 0
  private readonly pace = new StartPace()

  /// `getBetterShare` returns how long a call takes at other entries that are known to serve it sooner, as a share of
  /// the time that it takes here; `Infinity` if there are none. During `startup` calls of running programs wait as long
  /// as they may, whatever the expected wait is; null for a process that has been running for long.
  constructor (
    private readonly backlog: LoopBacklog,
    private readonly getBetterShare: () => number = () => Infinity,
    private readonly startup: StartupPhase | null = null
  ) {}

  /// Share of the programs that are refused at their start.
  get shedShare (): number {
    return this.shedding.shedShare
  }

  get waiting (): number {
    return this.queues.reduce((sum, queue) => sum + queue.length, 0)
  }

  /// Whether a call of the program has started here lately.
  hasStartedProgram (id: string): boolean {
    return this.programs.has(id)
  }

  /// Must be called in each event loop iteration in which connections are accepted, or wait to be served, with the time
  /// since when that is so without a break.
  countAccepting (sinceMs: number): void {
    this.acceptingSinceMs = Math.min(this.acceptingSinceMs, sinceMs)
    this.countIteration()
  }

  /// Resolves when the call may start. Rejects with `RefusedError`, with the verdict that the call did not run, if it
  /// would wait too long, or when its signal is aborted.
  admit (request: AdmissionRequest): Promise<void> {
    const { call, route, deadlineMs } = request
    const remainingMs = deadlineMs - performance.now()
    if (remainingMs <= 0) {
      return Promise.reject(createTimedOutError('the deadline had passed when the call was read'))
    }
    this.shares.recordDemand(request.workspace, performance.now())
    const callClass = this.classify(request, remainingMs)
    const { rank, maxWaitMs } = callClass
    const comingWaitMs = this.countAhead(callClass, request.workspace) * this.pace.intervalMs +
      loopPassesByKind[route.kind] * this.backlog.meanDelayMs
    if (rank >= turnRank) this.shedding.observe(comingWaitMs, route.targetLatencyMs)
    const expectedWaitMs = this.findPastWaitMs(call) + comingWaitMs
    const isHeld = rank <= turnRank && this.isStartingUp()
    if (!isHeld && (expectedWaitMs > maxWaitMs || this.isForOtherEntry(request, callClass, expectedWaitMs))) {
      this.refusedTurns.add(call.previousTurnId, callClass.sinceMs)
      const reason = expectedWaitMs > maxWaitMs
        ? `it may wait for ${Math.round(maxWaitMs)} ms`
        : `another entry serves it in ${Math.round(expectedWaitMs * this.getBetterShare())} ms`
      const retryAfterMs = this.findRetryAfterMs(request, maxWaitMs, expectedWaitMs)
      return Promise.reject(createBusyError(`would wait for ${Math.round(expectedWaitMs)} ms, ${reason}`, retryAfterMs))
    }
    const standing = this.shares.getStanding(request.workspace, performance.now())
    if (rank > turnRank && this.shedding.isShed(call.program!.id, request.priority, standing)) {
      return Promise.reject(createShedError(this.shedShare))
    }
    this.countIteration()
    if (this.mayStart && this.waiting === 0) {
      this.recordStart(request)
      return Promise.resolve()
    }
    return this.enqueue(request, callClass)
  }

  /// Whether expected waits are those of a process that is starting, which get shorter soon.
  private isStartingUp (): boolean {
    const nowMs = performance.now()
    this.startup?.recordCall(nowMs)
    return this.startup !== null && !this.startup.isOver(nowMs)
  }

  /// Other calls of a running program come first, since callers repeat them less often than turns; then its turns, then
  /// new programs by their priority.
  private classify ({ call, route, priority }: AdmissionRequest, remainingMs: number): CallClass {
    const maxWaitMs = remainingMs * maxWaitShare
    const nowMs = performance.now()
    if (route.kind !== RouteKind.streaming) return { rank: 0, maxWaitMs, sinceMs: nowMs, isRetry: false }
    if (!this.isNewProgram(call)) {
      const refusedSinceMs = this.refusedTurns.take(call.previousTurnId)
      return { rank: turnRank, maxWaitMs, sinceMs: refusedSinceMs ?? nowMs, isRetry: refusedSinceMs !== null }
    }
    const rank = turnRank + 1 + Math.min(Math.max(0, Math.floor(priority)), maxPriority)
    return { rank, maxWaitMs: Math.min(maxWaitMs, route.targetLatencyMs), sinceMs: nowMs, isRetry: false }
  }

  /// Whether another entry is known to serve a turn sooner by more than its target latency, with its retry: many
  /// callers try only once. One that another entry has passed on, or that comes back, could be refused by each in turn.
  private isForOtherEntry (request: AdmissionRequest, { rank, isRetry }: CallClass, expectedWaitMs: number): boolean {
    const { route, isRelayed } = request
    if (rank !== turnRank || isRelayed || isRetry) return false
    const elsewhereMs = expectedWaitMs * this.getBetterShare() + busyRetryAfterMs + reconnectMs
    return expectedWaitMs - elsewhereMs > route.targetLatencyMs
  }

  /// Returns after how long the call could be served here, or at once if another entry would serve it sooner.
  private findRetryAfterMs (
    { deadlineMs, isRelayed }: AdmissionRequest, maxWaitMs: number, expectedWaitMs: number
  ): number {
    const elsewhereMs = expectedWaitMs * this.getBetterShare() + reconnectMs
    if (!isRelayed && elsewhereMs < expectedWaitMs) return addJitter(busyRetryAfterMs)
    const remainingMs = deadlineMs - performance.now()
    const excessMs = expectedWaitMs - maxWaitMs
    // A wait that is bound by a share of the caller's time must shrink by more, since that time shrinks with it.
    const isBoundByShare = maxWaitMs >= remainingMs * maxWaitShare
    const servedAfterMs = isBoundByShare ? excessMs / (1 - maxWaitShare) : excessMs
    const latestMs = Math.min(maxRetryAfterMs, remainingMs * maxRetryAfterShare)
    const spreadMs = servedAfterMs * (1 + Math.random() * retryJitter)
    return Math.max(addJitter(busyRetryAfterMs), Math.round(Math.min(spreadMs, latestMs)))
  }

  /// A turn that continues no stored turn, of a program none of whose calls has started here lately. The program may
  /// have begun at another entry.
  private isNewProgram (call: Call): boolean {
    return call.previousTurnId === null && call.program !== null && !this.programs.has(call.program.id)
  }

  /// How long a new program's call has waited for its connection to be accepted and read, while others did, too. A
  /// stall before that doesn't count.
  private findPastWaitMs (call: Call): number {
    if (!this.isAccepting || !this.isNewProgram(call)) return 0
    return performance.now() - Math.max(call.receivedAtMs, this.acceptingSinceMs)
  }

  private get isAccepting (): boolean {
    return this.acceptingSinceMs < Infinity
  }

  private countAhead (callClass: CallClass, workspace: string | null): number {
    let count = this.shares.isActive ? this.countLevelsAhead(callClass, workspace) : this.findPlace(callClass)
    for (let rank = 0; rank < callClass.rank; rank++) count += this.queues[rank]?.length ?? 0
    return count
  }

  /// How many calls of the same rank exceed their workspace's fair share by less, or as much and have tried for longer.
  private countLevelsAhead ({ rank, sinceMs }: CallClass, workspace: string | null): number {
    const queue = this.queues[rank] ?? []
    const nowMs = performance.now()
    const counts = new Map<string | null, number>()
    const levels = queue.map((waiting, i) => {
      const ownAhead = counts.get(waiting.workspace) ?? 0
      counts.set(waiting.workspace, ownAhead + 1)
      return this.shares.getLevel(waiting.workspace, ownAhead, i, nowMs)
    })
    const ownLevel = this.shares.getLevel(workspace, counts.get(workspace) ?? 0, queue.length, nowMs)
    return levels.filter((level, i) => level < ownLevel || (level === ownLevel && queue[i]!.sinceMs <= sinceMs)).length
  }

  /// How many calls of the same rank have tried for longer.
  private findPlace ({ rank, sinceMs }: CallClass): number {
    const queue = this.queues[rank] ?? []
    let place = queue.length
    while (place > 0 && queue[place - 1]!.sinceMs > sinceMs) place--
    return place
  }

  private enqueue ({ call, workspace, signal }: AdmissionRequest, callClass: CallClass): Promise<void> {
    const { rank, maxWaitMs, sinceMs } = callClass
    return new Promise((resolve, reject) => {
      while (this.queues.length <= rank) this.queues.push([])
      const queuedAtMs = performance.now()
      const isAborted = (): boolean => signal.aborted
      const waiting = { call, workspace, sinceMs, queuedAtMs, maxWaitMs, start: resolve, refuse: reject, isAborted }
      this.queues[rank]!.splice(this.findPlace(callClass), 0, waiting)
      signal.addEventListener('abort', () => {
        reject(createTimedOutError('caller disconnected or deadline passed before the call started'))
      }, { once: true })
    })
  }

  private get mayStart (): boolean {
    if (this.hasStarted) return false
    if (!this.isAccepting) return true
    const isRunningWaiting = this.queues.slice(0, turnRank + 1).some(queue => queue.length > 0)
    const iterations = isRunningWaiting ? iterationsPerRunningStartWhileAccepting : iterationsPerStartWhileAccepting
    return this.iterationsSinceStart >= iterations
  }

  private recordStart ({ call, workspace }: Pick<AdmissionRequest, 'call' | 'workspace'>): void {
    if (call.program !== null) this.programs.add(call.program.id)
    this.shares.recordService(workspace, performance.now())
    this.startup?.recordStart()
    this.hasStarted = true
    this.iterationsSinceStart = 0
    this.lastStartAtMs = performance.now()
  }

  /// Makes `endIteration` run at the end of this iteration.
  private countIteration (): void {
    if (this.isIterationCounted) return
    this.isIterationCounted = true
    setImmediate(() => this.endIteration())
  }

  /// Starts the next call, if none has started in this iteration. A running program's call that has waited for too long
  /// is refused only if it can't start now.
  private endIteration (): void {
    this.iterationsSinceStart++
    if (this.waiting > 0) {
      this.refuseExpired(turnRank + 1)
      if (this.mayStart) this.startNext()
      this.refuseExpired(0)
    }
    this.isIterationCounted = this.hasStarted = false
    this.acceptingSinceMs = Infinity
    // An iteration that does not block, in which the next call starts.
    if (this.waiting > 0) this.countIteration()
  }

  private startNext (): void {
    const next = this.dequeue()
    if (next === undefined) return
    this.pace.record(performance.now() - Math.max(this.lastStartAtMs, next.queuedAtMs))
    this.recordStart(next)
    next.start()
  }

  /// Refuses calls from a rank on that have waited for too long, since more urgent ones came meanwhile.
  private refuseExpired (firstRank: number): void {
    const nowMs = performance.now()
    const isExpired = ({ queuedAtMs, maxWaitMs }: WaitingCall): boolean => nowMs - queuedAtMs > maxWaitMs
    for (let rank = firstRank; rank < this.queues.length; rank++) {
      const queue = this.queues[rank]!
      if (!queue.some(isExpired)) continue
      this.queues[rank] = queue.filter(waiting => !isExpired(waiting))
      for (const { call, sinceMs, queuedAtMs, refuse } of queue.filter(isExpired)) {
        this.refusedTurns.add(call.previousTurnId, sinceMs)
        refuse(createBusyError(`has waited for ${Math.round(nowMs - queuedAtMs)} ms`))
      }
    }
  }

  private dequeue (): WaitingCall | undefined {
    for (const queue of this.queues) {
      while (queue.length > 0) {
        const next = queue.splice(this.findNext(queue), 1)[0]!
        if (!next.isAborted()) return next
      }
    }
    return undefined
  }

  /// The place of the first call whose workspace exceeds its fair share by least.
  private findNext (queue: readonly WaitingCall[]): number {
    if (!this.shares.isActive) return 0
    const nowMs = performance.now()
    const levels = new Map<string | null, number>()
    let next = 0
    for (const [i, { workspace }] of queue.entries()) {
      if (levels.has(workspace)) continue
      levels.set(workspace, this.shares.getLevel(workspace, 0, 0, nowMs))
      if (levels.get(workspace)! < levels.get(queue[next]!.workspace)!) next = i
      if (levels.get(workspace) === 0) break
    }
    return next
  }
}

function createTimedOutError (message: string): RefusedError {
  return new RefusedError(Refusal.timedOut, Verdict.notRun, message)
}

function createBusyError (reason: string, retryAfterMs = addJitter(busyRetryAfterMs)): RefusedError {
  return new RefusedError(
    Refusal.busy,
    Verdict.notRun,
    `this process is busy: the call ${reason}`,
    retryAfterMs
  )
}

function createShedError (shedShare: number): RefusedError {
  return new RefusedError(
    Refusal.busy,
    Verdict.notRun,
    `this process is busy: ${Math.round(shedShare * 100)} % of new programs are not served`,
    addJitter(shedRetryAfterMs)
  )
}

function addJitter (retryAfterMs: number): number {
  return Math.round(retryAfterMs * (1 + (Math.random() * 2 - 1) * retryJitter))
}
