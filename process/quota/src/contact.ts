import { callAfterReading } from '#process/clock'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import type { Members } from './members.js'
import { MessageKind } from './messages.js'
import type { QuotaMessage, StateMessage } from './messages.js'
import type { Member } from './ranking.js'

/// Sends a message to an entry at HOST:PORT; it may be lost.
export type SendMessage = (message: QuotaMessage, address: string) => void

/// How long one of two tries waits. Entries with a small share of a processor pause for up to 100 ms.
export const tryMs = 60
export const tryCount = 2
/// A coordinator grants nothing once it has heard from no other entry for so long. One that acts in its place starts to
/// accrue credit only after that time.
export const maxUnheardMs = 400
/// How long an entry that has not replied is avoided: doubles with each further failure.
const minAvoidMs = 1000
const maxAvoidMs = 8000
/// How many entries are asked to find out whether this one is cut off, and how often then.
const probeCount = 4
const retryIntervalMs = 300

interface Avoidance {
  readonly untilMs: number
  readonly lengthMs: number
}

interface PendingRequest {
  readonly resolve: (state: StateMessage | null) => void
}

/// Which other entries this one reaches, as far as their messages about quotas tell.
export class PeerContact {
  /// Increases when this entry hears from another one after a gap, in which others may have taken it for lost.
  epoch = 0
  /// Whether it reaches no other entry, while others are listed.
  isCutOff = false
  private heardAtMs = -Infinity
  private lastNumber = 0
  private probing: Promise<boolean> | null = null
  private retriedAtMs = -Infinity
  private readonly avoided = new Map<string, Avoidance>()
  private readonly pending = new Map<number, PendingRequest>()

  constructor (private readonly members: Members, private readonly send: SendMessage, private readonly log: EventLog) {}

  /// Must be called for each message of another entry.
  hear (name: string): void {
    const nowMs = performance.now()
    if (nowMs - this.heardAtMs > maxUnheardMs) this.epoch++
    this.heardAtMs = nowMs
    this.avoided.delete(name)
    if (!this.isCutOff) return
    this.isCutOff = false
    this.avoided.clear()
    this.log.event(Events.quotaContact, { isCutOff: false, heard: name })
  }

  hasHeardSince (timeMs: number): boolean {
    return this.heardAtMs >= timeMs
  }

  /// Whether others can't have taken this entry for lost.
  get isFresh (): boolean {
    return performance.now() - this.heardAtMs <= maxUnheardMs
  }

  /// Must be called when an entry has left all tries unanswered.
  recordFailure (name: string): void {
    const nowMs = performance.now()
    const known = this.avoided.get(name)
    if (known !== undefined && known.untilMs > nowMs) return
    const lengthMs = Math.min(maxAvoidMs, (known?.lengthMs ?? minAvoidMs / 2) * 2)
    this.avoided.set(name, { untilMs: nowMs + lengthMs, lengthMs })
  }

  /// Whether an entry has not replied lately, so that others are asked in its place for a while.
  isAvoided ({ name }: Member): boolean {
    return (this.avoided.get(name)?.untilMs ?? 0) > performance.now()
  }

  /// Asks some entries for a sign of life. Resolves to whether any gives one; if not, this entry is cut off.
  reachesAny (): Promise<boolean> {
    this.probing ??= this.probeOthers().finally(() => { this.probing = null })
    return this.probing
  }

  private probeOthers (): Promise<boolean> {
    const checks = this.drawOthers().map(async member => {
      if (await this.check(member, '', '', 0) === null) throw new Error('no reply')
    })
    return Promise.any(checks).then(() => true, () => {
      this.recordCutOff()
      return false
    })
  }

  private recordCutOff (): void {
    if (this.isCutOff) return
    this.isCutOff = true
    this.log.event(Events.quotaContact, { isCutOff: true, entries: (this.members.others?.length ?? 0) + 1 })
  }

  /// Must be called while this entry is cut off and has calls to serve: it asks others from time to time.
  retryContact (): void {
    const nowMs = performance.now()
    if (nowMs - this.retriedAtMs < retryIntervalMs) return
    this.retriedAtMs = nowMs
    this.reachesAny()
  }

  /// Asks an entry whether it is reached, telling it what has been granted in its place. Resolves to null if it is not.
  check (member: Member, workspace: string, bucket: string, granted: number): Promise<StateMessage | null> {
    return this.request(member, number => this.createCheck(workspace, bucket, granted, number))
  }

  /// Asks an entry for the bucket that it holds in place of this one.
  take (member: Member, workspace: string, client: string): Promise<StateMessage | null> {
    const sender = this.members.own.name
    return this.request(member, number => ({ kind: MessageKind.take, sender, client, number, workspace }))
  }

  handleState (state: StateMessage): void {
    this.pending.get(state.number)?.resolve(state)
  }

  private createCheck (workspace: string, bucket: string, granted: number, number: number): QuotaMessage {
    return { kind: MessageKind.check, sender: this.members.own.name, number, workspace, bucket, granted }
  }

  private request (member: Member, create: (number: number) => QuotaMessage): Promise<StateMessage | null> {
    const number = ++this.lastNumber
    const message = create(number)
    return new Promise(resolve => {
      const finish = (state: StateMessage | null): void => {
        if (!this.pending.delete(number)) return
        clearTimeout(timer)
        if (state === null) this.recordFailure(member.name)
        resolve(state)
      }
      let timer: ReturnType<typeof setTimeout>
      const startTry = (triesLeft: number): void => {
        if (!this.pending.has(number)) return
        if (triesLeft === 0) return finish(null)
        this.send(message, member.address)
        timer = setTimeout(() => callAfterReading(() => startTry(triesLeft - 1)), tryMs)
      }
      this.pending.set(number, { resolve: finish })
      startTry(tryCount)
    })
  }

  private drawOthers (): Member[] {
    const others = [...this.members.others ?? []]
    const drawn: Member[] = []
    while (drawn.length < probeCount && others.length > 0) {
      drawn.push(...others.splice(Math.floor(Math.random() * others.length), 1))
    }
    return drawn
  }
}
