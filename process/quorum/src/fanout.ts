/// How a request is sent to several members.
export interface FanoutOptions<Member> {
  /// The members of the current view, in the order in which they are sent the request.
  readonly getMembers: () => readonly Member[]
  /// How many of them are sent it at first; the others if these are not enough.
  readonly firstCount: number
  /// Sends it to one member. Resolves when the member has replied or is given up; must not reject.
  readonly send: (member: Member) => Promise<void>
  /// Whether the replies so far are enough.
  readonly isDone: () => boolean
  /// The others are sent it after this time without enough replies.
  readonly hedgeDelayMs: number
  /// On the monotonic clock of `performance.now()`.
  readonly deadlineMs: number
  /// Called when the members have changed, and with them perhaps whether the replies are enough.
  readonly onMembers: Set<() => void>
}

/// A request to several members. It is sent to the first ones, and to all, also those that a newer view adds meanwhile,
/// if these have not replied soon enough or their replies are not enough.
export class Fanout<Member> {
  /// Resolves when the replies are enough, when all members have replied or are given up, or at the deadline.
  readonly done: Promise<void>
  private readonly contacted = new Set<Member>()
  private readonly deadlineTimer: ReturnType<typeof setTimeout>
  private readonly hedgeTimer: ReturnType<typeof setTimeout>
  private inFlight = 0
  private isFinished = false
  /// Whether all members are to be sent the request.
  private isForAll = false
  private resolveDone = (): void => {}
  private resolveSettled: (() => void) | null = null

  constructor (private readonly options: FanoutOptions<Member>) {
    const { firstCount, hedgeDelayMs, deadlineMs, onMembers } = options
    this.done = new Promise(resolve => { this.resolveDone = resolve })
    this.deadlineTimer = setTimeout(() => this.finish(), Math.max(0, deadlineMs - performance.now()))
    this.hedgeTimer = setTimeout(() => this.contactAll(), hedgeDelayMs)
    onMembers.add(this.handleMembers)
    this.contact(firstCount)
    if (this.inFlight === 0) this.contactAll()
    if (this.inFlight === 0) this.finish()
  }

  /// Sends the request to the members that have not been sent it yet. Resolves when all have replied or are given up.
  async sendToAll (): Promise<void> {
    this.contactAll()
    if (this.inFlight > 0) await new Promise<void>(resolve => { this.resolveSettled = resolve })
  }

  private readonly handleMembers = (): void => {
    if (this.options.isDone()) this.finish()
    else if (this.isForAll) this.contactAll()
  }

  private contactAll (): void {
    this.isForAll = true
    this.contact(Infinity)
  }

  private contact (count: number): void {
    for (const member of this.options.getMembers()) {
      if (this.contacted.size >= count) return
      if (this.contacted.has(member)) continue
      this.contacted.add(member)
      this.inFlight++
      this.options.send(member).then(() => this.handleSettled())
    }
  }

  private handleSettled (): void {
    this.inFlight--
    if (this.options.isDone()) this.finish()
    else if (this.inFlight === 0) this.contactAll()
    if (this.inFlight > 0) return
    this.finish()
    this.resolveSettled?.()
  }

  private finish (): void {
    if (this.isFinished) return
    this.isFinished = true
    this.options.onMembers.delete(this.handleMembers)
    clearTimeout(this.deadlineTimer)
    clearTimeout(this.hedgeTimer)
    this.resolveDone()
  }
}
