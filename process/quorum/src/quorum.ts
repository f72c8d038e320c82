import { PeerError } from '#connection/rpc'
import type { AccountEntry, AppendReply, LedgerPeer, LedgerRecord, Member, Standing, View } from '#connection/rpc'
import { sleep } from '#process/clock'
import { mergeAccountEntries } from '#process/ledger'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { emptyView, computeQuorums } from '#process/membership'
import type { Quorums } from '#process/membership'

/// The storage instances could not be asked, or too few of them answered.
export class QuorumError extends Error {
  override readonly name = 'QuorumError'
}

export interface QuorumOptions {
  readonly zone: string
  readonly toleratedLosses: number
  readonly connect: (address: string) => LedgerPeer
  /// Called where an answer shows that the view may be out of date.
  readonly onStaleView: () => void
}

const callTimeoutMs = 400
const retryPauseMs = 40
/// After this long without the nearest member's answer the others are asked too.
const hedgeAfterMs = 40
/// How often members that are down are asked whether they are back.
const probeEveryMs = 200

interface PeerState {
  member: Member
  readonly peer: LedgerPeer
  /// Its last answer failed; the next one that comes clears it.
  isDown: boolean
}

/// The storage instances as one: a record counts, and is absent, by quorum.
export class LedgerQuorum {
  private view: View = emptyView
  private rule: Quorums = computeQuorums(emptyView, 0)
  private peers: PeerState[] = []
  private prober: ReturnType<typeof setInterval> | null = null

  constructor (private readonly options: QuorumOptions, private readonly log: EventLog) {}

  get viewVersion (): number {
    return this.view.version
  }

  adoptView (view: View, source: string): void {
    if (view.version <= this.view.version) return
    this.view = view
    this.rule = computeQuorums(view, this.options.toleratedLosses)
    const before = this.peers
    this.peers = view.members.map(member => {
      const known = before.find(state => isSameDisk(state.member, member))
      if (known !== undefined) return Object.assign(known, { member })
      return { member, peer: this.options.connect(member.address), isDown: false }
    })
    for (const old of before) if (!this.peers.some(state => state.peer === old.peer)) old.peer.close()
    this.log.event(Events.viewAdopted, { version: view.version, source, members: view.members.length })
    if (!this.isAvailable) this.startProbing()
  }

  /// Whether so many members seem to be up that appends can count. While they
  /// aren't, requests fail at once instead of waiting for the time to run out.
  get isAvailable (): boolean {
    const up = this.peers.filter(state => !state.isDown && this.rule.writers.has(state.member.diskId))
    return up.length >= this.rule.appends
  }

  /// Appends records; resolves once they can't be lost. Tries for the whole
  /// time, also while the storage instances seem to be out of reach.
  async append (records: readonly LedgerRecord[], timeoutMs: number): Promise<void> {
    await this.collect(records, '', timeoutMs, replies => countIn(replies.keys(), this.rule.writers) >= this.rule.appends)
  }

  /// Appends a reservation and resolves to the program's whole account.
  async reserve (reservation: LedgerRecord, timeoutMs: number): Promise<AccountEntry[]> {
    return await this.accountAfter([reservation], reservation.programId, timeoutMs, this.rule.appends)
  }

  /// A program's whole account: all that was reserved and settled before the call.
  async readAccount (programId: string, timeoutMs: number): Promise<AccountEntry[]> {
    return await this.accountAfter([], programId, timeoutMs, 0)
  }

  private async accountAfter (
    records: readonly LedgerRecord[],
    programId: string,
    timeoutMs: number,
    appends: number
  ): Promise<AccountEntry[]> {
    this.refuseIfUnreachable()
    const replies = await this.collect(records, programId, timeoutMs, replies => {
      return countIn(replies.keys(), this.rule.writers) >= appends &&
        countIn(replies.keys(), this.rule.knowers) >= this.rule.accounts
    })
    const account = new Map<string, AccountEntry>()
    for (const reply of replies.values()) {
      for (const entry of reply.account) account.set(entry.id, mergeAccountEntries(account.get(entry.id), entry))
    }
    return [...account.values()]
  }

  /// A turn's whole chain, oldest first; null where it certainly isn't kept.
  async findChain (turnId: string, timeoutMs: number): Promise<LedgerRecord[] | null> {
    const ordered = this.byDistance()
    this.refuseIfUnreachable()
    const absent = new Set<string>()
    const deadlineMs = performance.now() + timeoutMs
    let chain: LedgerRecord[] | null = null
    const ask = async (state: PeerState): Promise<void> => {
      const question = { viewVersion: this.view.version, turnId }
      const reply = await this.ask(state, (peer, callMs) => peer.findChain(question, callMs), deadlineMs, true)
      if (reply === null || chain !== null) return
      if (reply.chain.length > 0 && !reply.incomplete) chain = reply.chain
      else if (reply.chain.length === 0) absent.add(reply.standing!.diskId)
    }
    const isDone = (): boolean => chain !== null || countIn(absent, this.rule.knowers) >= this.rule.absences
    const nearest = ask(ordered[0]!)
    await Promise.race([nearest, sleep(hedgeAfterMs)])
    if (!isDone()) await this.askAll(state => state === ordered[0] ? nearest : ask(state), isDone, deadlineMs)
    if (chain !== null) return chain
    if (countIn(absent, this.rule.knowers) >= this.rule.absences) return null
    this.log.event(Events.quorumMissed, { of: 'chain', turnId, absent: absent.size, viewVersion: this.view.version })
    throw new QuorumError(`${absent.size} of ${this.rule.absences} storage instances answered`)
  }

  close (): void {
    if (this.prober !== null) clearInterval(this.prober)
    for (const { peer } of this.peers) peer.close()
  }

  /// Sends an append to all members, again to those that fail, until enough
  /// have answered. Those that are slow go on in the background.
  private async collect (
    records: readonly LedgerRecord[],
    accountOf: string,
    timeoutMs: number,
    isEnough: (replies: ReadonlyMap<string, AppendReply>) => boolean
  ): Promise<ReadonlyMap<string, AppendReply>> {
    const deadlineMs = performance.now() + timeoutMs
    const replies = new Map<string, AppendReply>()
    const request = { viewVersion: this.view.version, records: [...records], accountOf }
    const send = async (state: PeerState): Promise<void> => {
      const reply = await this.ask(state, (peer, callMs) => peer.append(request, callMs), deadlineMs, accountOf !== '')
      if (reply !== null) replies.set(reply.standing!.diskId, reply)
    }
    await this.askAll(send, () => isEnough(replies), deadlineMs)
    if (isEnough(replies)) return replies
    this.log.event(Events.quorumMissed, { of: 'append', ids: records.map(record => record.id), answered: replies.size, viewVersion: this.view.version })
    throw new QuorumError(`${replies.size} storage instances answered in time`)
  }

  /// Asks every member, also one that an answer's newer view brings. Resolves
  /// when enough have answered, all have ended, or the time is up.
  private askAll (ask: (state: PeerState) => Promise<void>, isDone: () => boolean, deadlineMs: number): Promise<void> {
    return new Promise(resolve => {
      const asked = new Set<PeerState>()
      const timer = setTimeout(resolve, Math.max(0, deadlineMs - performance.now()))
      let open = 0
      const askNew = (): void => {
        for (const state of this.peers) {
          if (asked.has(state)) continue
          asked.add(state)
          open++
          ask(state).then(settle, settle)
        }
      }
      const settle = (): void => {
        open--
        if (!isDone()) askNew()
        if (!isDone() && open > 0) return
        clearTimeout(timer)
        resolve()
      }
      askNew()
      if (open === 0) settle()
    })
  }

  /// Asks one member until it answers or the time is up; null in that case, or
  /// where it may give up since too few members are up.
  private async ask<Reply extends { standing?: Standing | undefined }> (
    state: PeerState,
    call: (peer: LedgerPeer, timeoutMs: number) => Promise<Reply>,
    deadlineMs: number,
    givesUp: boolean
  ): Promise<Reply | null> {
    while (true) {
      const leftMs = deadlineMs - performance.now()
      if (leftMs <= 1 || (givesUp && state.isDown && !this.isAvailable)) return null
      try {
        const reply = await call(state.peer, Math.min(leftMs, callTimeoutMs))
        this.heed(state, reply.standing!)
        return reply
      } catch (error) {
        this.noteFailure(state, error)
      }
      await sleep(retryPauseMs)
    }
  }

  /// Takes over a newer view that an answer brings, and asks for one where the disk isn't the expected one.
  private heed (state: PeerState, standing: Standing): void {
    if (state.isDown) {
      state.isDown = false
      this.log.event(Events.memberRegained, { member: state.member.name })
    }
    if (standing.newerView !== undefined) this.adoptView(standing.newerView, state.member.name)
    if (standing.diskId !== state.member.diskId) this.options.onStaleView()
  }

  private noteFailure (state: PeerState, error: unknown): void {
    if (error instanceof PeerError && !error.isSilent) return
    if (!state.isDown) this.log.event(Events.memberLost, { member: state.member.name, error: formatError(error) })
    state.isDown = true
    this.options.onStaleView()
    this.startProbing()
  }

  private startProbing (): void {
    this.prober ??= setInterval(() => this.probe(), probeEveryMs)
  }

  /// Asks members that are down whether they are back, and for a newer view
  /// while this one has too few members that are up.
  private probe (): void {
    const down = this.peers.filter(state => state.isDown)
    if (!this.isAvailable) this.options.onStaleView()
    else if (down.length === 0 && this.prober !== null) {
      clearInterval(this.prober)
      this.prober = null
    }
    const question = { viewVersion: this.view.version, cursor: 0, limit: 0, epoch: '' }
    for (const state of down) {
      state.peer.digest(question, callTimeoutMs).then(reply => this.heed(state, reply.standing!), () => {
        // Still down, as the log says already.
      })
    }
  }

  private refuseIfUnreachable (): void {
    // A view with too few members, none of them down, is an old one: an answer brings the newer one.
    const isOld = this.peers.length > 0 && !this.peers.some(state => state.isDown)
    if (!this.isAvailable && !isOld) throw new QuorumError('too few storage instances are up')
  }

  private byDistance (): PeerState[] {
    const rank = (state: PeerState): number => {
      const isNew = !this.rule.knowers.has(state.member.diskId)
      return (state.isDown ? 4 : 0) + (isNew ? 2 : 0) + (state.member.zone === this.options.zone ? 0 : 1)
    }
    return [...this.peers].sort((a, b) => rank(a) - rank(b))
  }
}

function countIn (diskIds: Iterable<string>, counting: ReadonlySet<string>): number {
  let count = 0
  for (const diskId of diskIds) if (counting.has(diskId)) count++
  return count
}

function isSameDisk (a: Member, b: Member): boolean {
  return a.diskId === b.diskId && a.address === b.address
}
