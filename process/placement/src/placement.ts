import { Refusal, RefusedError, Verdict } from '#request/call'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { estimateRunning } from '#process/instances'
import type { Instance, InstanceRegistry } from '#process/instances'
import { chooseInstance } from './choice.js'
import type { PlacementRequest } from './choice.js'

/// A place at an instance, until it is released.
export interface InstanceLease {
  readonly instance: Instance
  release (): void
}

interface Waiter {
  readonly need: PlacementRequest
  readonly since: number
  resolve (place: InstanceLease): void
  reject (error: RefusedError): void
}

const recheckMs = 15
const noInstanceRetryMs = 300
const overloadRetryMs = 150
/// Calls that may wait at once; more are refused at once.
const maxWaiting = 400
/// Ageing: a waiting call counts as one rank more urgent after this time.
const rankAgeMs = 400
/// A program that runs is worth its credit only once it ends: one that hasn't begun waits behind as many ranks.
const newProgramRanks = 1
/// A new program is begun only below this share of an instance's slots: the rest is for the turns of those that run.
const newProgramShare = 0.55
/// Calls of an instance beyond its slots, so that it never idles between two.
const slackCalls = 1

/// Gives calls their places at instances: at once where one is free, else in
/// the order of their urgency.
export class Placement {
  private readonly waiters: Waiter[] = []
  private timer: ReturnType<typeof setInterval> | null = null

  constructor (
    private readonly registry: InstanceRegistry,
    private readonly zone: string,
    private readonly log: EventLog
  ) {}

  get queueLength (): number {
    return this.waiters.length
  }

  /// Rejects with `RefusedError` where no instance may take the call in time.
  acquire (need: PlacementRequest, signal: AbortSignal): Promise<InstanceLease> {
    const nowMs = performance.now()
    const isBehind = this.waiters.some(waiter => {
      return waiter.need.service === need.service && rank(waiter, nowMs) <= rankOf(need)
    })
    const candidates = this.candidates(need)
    const found = isBehind ? null : this.tryPlace(candidates, need, nowMs)
    if (found !== null) return Promise.resolve(found)
    if (candidates.length === 0) return Promise.reject(refusedWithoutInstance(need.service))
    if (this.waiters.length >= maxWaiting) return Promise.reject(refusedForLoad(need.service))
    return this.wait(need, nowMs, signal)
  }

  /// Lets waiting calls go where places have become free.
  processQueue (): void {
    const nowMs = performance.now()
    this.waiters.sort((a, b) => rank(a, nowMs) - rank(b, nowMs) || slackOf(a.need) - slackOf(b.need))
    for (const waiter of [...this.waiters]) this.settle(waiter, nowMs)
    if (this.waiters.length === 0 && this.timer !== null) {
      clearInterval(this.timer)
      this.timer = null
    }
  }

  private wait (need: PlacementRequest, nowMs: number, signal: AbortSignal): Promise<InstanceLease> {
    this.log.event(Events.callWaiting, { callId: need.call.id, service: need.service, waiting: this.waiters.length })
    return new Promise((resolve, reject) => {
      const waiter = { need, since: nowMs, resolve, reject }
      this.waiters.push(waiter)
      signal.addEventListener('abort', () => {
        if (this.forget(waiter)) reject(new RefusedError(Refusal.timedOut, Verdict.notRun, 'the caller left while the call waited'))
      }, { once: true })
      this.timer ??= setInterval(() => this.processQueue(), recheckMs)
    })
  }

  private settle (waiter: Waiter, nowMs: number): void {
    const { need } = waiter
    const candidates = this.candidates(need)
    const place = this.tryPlace(candidates, need, nowMs)
    if (place !== null) {
      this.forget(waiter)
      waiter.resolve(place)
    } else if (candidates.length === 0) {
      this.forget(waiter)
      waiter.reject(refusedWithoutInstance(need.service))
    } else if (nowMs - waiter.since > need.maxWaitMs) {
      this.forget(waiter)
      waiter.reject(refusedForLoad(need.service))
    }
  }

  private forget (waiter: Waiter): boolean {
    const at = this.waiters.indexOf(waiter)
    if (at >= 0) this.waiters.splice(at, 1)
    return at >= 0
  }

  private tryPlace (candidates: readonly Instance[], need: PlacementRequest, nowMs: number): InstanceLease | null {
    const trusted = candidates.filter(instance => instance.suspectUntilMs <= nowMs)
    const open = (trusted.length > 0 ? trusted : candidates).filter(instance => hasRoom(instance, need, nowMs))
    const instance = chooseInstance(open, need, this.zone, nowMs)
    return instance === null ? null : this.take(instance)
  }

  private candidates (need: PlacementRequest): Instance[] {
    return [...this.registry.readyInstances(need.service)]
      .filter(instance => !need.excluded.has(instance.description.id))
  }

  private take (instance: Instance): InstanceLease {
    instance.running++
    let isHeld = true
    return {
      instance,
      release: () => {
        if (!isHeld) return
        isHeld = false
        instance.running--
        if (this.waiters.length > 0) queueMicrotask(() => this.processQueue())
      }
    }
  }
}

function hasRoom (instance: Instance, need: PlacementRequest, nowMs: number): boolean {
  const { slots } = instance.description
  const places = need.isContinuing ? slots + slackCalls : slots * newProgramShare
  return estimateRunning(instance, nowMs) < places
}

function rank (waiter: Waiter, nowMs: number): number {
  return rankOf(waiter.need) - Math.floor((nowMs - waiter.since) / rankAgeMs)
}

function rankOf (need: PlacementRequest): number {
  return need.priority + (need.isContinuing ? 0 : newProgramRanks)
}

function slackOf (need: PlacementRequest): number {
  return need.call.program === null ? need.deadlineMs : need.call.receivedAtMs + need.call.program.remainingMs
}

function refusedWithoutInstance (service: string): RefusedError {
  return new RefusedError(Refusal.noInstance, Verdict.notRun, `no instance of ${service} is known that could run it`, noInstanceRetryMs)
}

function refusedForLoad (service: string): RefusedError {
  return new RefusedError(Refusal.overloaded, Verdict.notRun, `the instances of ${service} are full`, overloadRetryMs)
}
