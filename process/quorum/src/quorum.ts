import { Room } from '#connection/rpc'
import type { AccountEntry, AppendReply, FindChainReply, FindChainRequest, LedgerRecord, View } from '#connection/rpc'
import { LedgerError } from '#request/turn'
import type { Commit, OnChainPart, ReservedAccount } from '#request/turn'
import { sleep } from '#process/clock'
import { mergeAccountEntries } from '#process/ledger'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { Fanout } from './fanout.js'
import { LedgerPeers } from './ledgerpeers.js'
import type { LedgerPeersOptions, PeerState } from './ledgerpeers.js'

/// Too few storage instances are reachable, or too few of them replied in time.
export class QuorumError extends LedgerError {
  override readonly name = 'QuorumError'
}

/// How long records are collected that need not be committed at once.
const batchDelayMs = 100
const batchTimeoutMs = 1500
/// An ordinary chain is in the first part, whole.
const maxFirstPartBytes = 256 * 1024
/// A chain query goes to the nearest member first, and to the others if there is no reply within this time.
const chainHedgeDelayMs = 40
/// The same for an append, which goes to as many members first as a quorum needs.
const appendHedgeDelayMs = 50
/// Longer than most starts of a storage instance take from then on.
const startRetryAfterMs = 1000
/// Records expire all the time.
const fullRetryAfterMs = 1000
/// Another entry may reach the storage.
const cutOffRetryAfterMs = 250
/// Callers that were refused at the same time come back spread over this share of the delay, either way.
const retryJitter = 0.25

/// The replies to an append, which may still arrive after there is a quorum.
interface Collection {
  /// By disk id.
  readonly replies: ReadonlyMap<string, AppendReply>
  /// Version of the view in which it was sent.
  readonly viewVersion: number
  /// Rejects with `QuorumError`.
  readonly quorum: Promise<void>
  /// Asks the members that have not been asked. Resolves when every member has replied, or is given up.
  readonly askAll: () => Promise<void>
}

/// How records are appended.
interface CollectOptions {
  /// The program whose account is read, too; '' for none.
  readonly accountOf: string
  readonly timeoutMs: number
  /// Gives up on members that are down as soon as too few are up or starting.
  readonly failsFast: boolean
  readonly signal?: AbortSignal | undefined
}

type PartQuery = Pick<FindChainRequest, 'turnId' | 'maxBytes'>

/// The replies to the query of a chain.
interface ChainReplies {
  /// One that has the turn.
  readonly found: FindChainReply | null
  /// Disks that lack the turn.
  readonly absentDiskIds: ReadonlySet<string>
}

/// Records that are appended together.
interface Batch {
  readonly records: LedgerRecord[]
  readonly committed: Promise<void>
}

/// Client of the replicated ledger. Appends and reads records on the storage
/// instances of the current view, and decides by quorum whether a record is
/// committed or absent. Methods reject with `QuorumError`.
export class LedgerQuorum {
  private readonly peers: LedgerPeers
  private batch: Batch | null = null

  constructor (options: LedgerPeersOptions, private readonly log: EventLog) {
    this.peers = new LedgerPeers(options, log)
  }

  get viewVersion (): number {
    return this.peers.view.version
  }

  /// Switches to `view` if it is newer than the current one. `source` is logged.
  adoptView (view: View, source: string): void {
    this.peers.adoptView(view, source)
  }

  /// Whether enough members seem to be up to commit an append. While it is
  /// false, reservations and reads wait for members that are starting, and fail
  /// at once if too few are, unless no member of the view is down: then the view
  /// is out of date.
  get isAvailable (): boolean {
    return this.peers.isAvailable
  }

  /// Whether too few members are up or starting.
  get isCutOff (): boolean {
    return this.peers.isCutOff
  }

  /// What the storage has room for, by the latest replies.
  get room (): Room {
    return this.peers.room
  }

  get retryAfterMs (): number {
    const isStarting = !this.peers.isAvailable && (this.peers.isStarting || this.peers.areMachinesUp)
    const meanMs = this.room !== Room.all ? fullRetryAfterMs : isStarting ? startRetryAfterMs : cutOffRetryAfterMs
    return Math.round(meanMs * (1 + (Math.random() * 2 - 1) * retryJitter))
  }

  /// Appends records and resolves once they are committed. Retries until the
  /// timeout, even while too few storage instances seem to be up.
  async append (records: readonly LedgerRecord[], timeoutMs: number): Promise<Commit> {
    const { replies, quorum } = this.collect(records, { accountOf: '', timeoutMs, failsFast: false }, replies =>
      countVoters(replies.keys(), this.peers.quorums.appendVoters) >= this.peers.quorums.appendQuorum)
    await quorum
    return { diskIds: [...replies.keys()], viewVersion: this.viewVersion }
  }

  /// Appends the record after `batchDelayMs`, together with all others of that time, and resolves once it is committed.
  appendSoon (record: LedgerRecord): Promise<void> {
    if (this.batch === null) {
      const records: LedgerRecord[] = []
      const committed = sleep(batchDelayMs).then(async () => {
        this.batch = null
        await this.append(records, batchTimeoutMs)
      })
      this.batch = { records, committed }
    }
    this.batch.records.push(record)
    return this.batch.committed
  }

  /// Resolves when the records of `appendSoon` have been committed, or could not be.
  async flush (): Promise<void> {
    await this.batch?.committed.catch(() => {
      // The caller of appendSoon handles the error.
    })
  }

  /// Appends a reservation and resolves, once it is committed, to the program's account, which is empty without a
  /// program.
  async reserve (reservation: LedgerRecord, timeoutMs: number, signal?: AbortSignal): Promise<ReservedAccount> {
    const { replies, askAll, viewVersion: version } =
      await this.appendAndReadAccount([reservation], reservation.programId, timeoutMs, signal)
    // Those that are not asked may have room again.
    if (this.room !== Room.all) askAll()
    return {
      entries: mergeAccounts(replies),
      readComplete: async maxWaitMs => {
        await Promise.race([askAll(), sleep(maxWaitMs)])
        const isComplete = this.peers.view.version === version &&
          this.peers.view.members.every(member => replies.has(member.diskId))
        return isComplete ? mergeAccounts(replies) : null
      },
      confirmChain: async maxWaitMs => {
        if (this.isChainHeld(replies)) return true
        await Promise.race([askAll(), sleep(maxWaitMs)])
        return this.isChainHeld(replies)
      }
    }
  }

  /// Whether enough members hold a chain to keep it through the losses that are tolerated.
  private isChainHeld (replies: ReadonlyMap<string, AppendReply>): boolean {
    const holders = [...replies].filter(([, { chainHeld }]) => chainHeld).map(([diskId]) => diskId)
    return countVoters(holders, this.peers.quorums.appendVoters) >= this.peers.quorums.appendQuorum
  }

  /// Resolves to a program's account: all that was reserved and settled before the request.
  async readAccount (programId: string, timeoutMs: number): Promise<AccountEntry[]> {
    const { replies } = await this.appendAndReadAccount([], programId, timeoutMs)
    return mergeAccounts(replies)
  }

  /// Resolves once there is a quorum. If there is none as a member still copies, the records are sent again under the
  /// next view: a member counts for the account only if it held what it must before it was sent the request.
  private async appendAndReadAccount (
    records: readonly LedgerRecord[],
    programId: string,
    timeoutMs: number,
    signal?: AbortSignal
  ): Promise<Collection> {
    const deadlineMs = performance.now() + timeoutMs
    await this.waitUntilAvailable(deadlineMs)
    if (signal?.aborted === true) throw new QuorumError('the call was aborted before anything was sent', false)
    while (true) {
      const collection = this.collectAccount(records, programId, deadlineMs - performance.now(), signal)
      try {
        await collection.quorum
        return collection
      } catch (error) {
        const hasNewView = await this.peers.waitForView(collection.viewVersion, deadlineMs)
        if (!hasNewView) throw error
      }
    }
  }

  private collectAccount (
    records: readonly LedgerRecord[],
    programId: string,
    timeoutMs: number,
    signal?: AbortSignal
  ): Collection {
    const options = { accountOf: programId, timeoutMs, failsFast: true, signal }
    return this.collect(records, options, (replies, completeDiskIds) => {
      const { appendVoters, appendQuorum } = this.peers.quorums
      const requiredAppends = records.length > 0 ? appendQuorum : 0
      return countVoters(replies.keys(), appendVoters) >= requiredAppends &&
        countVoters(completeDiskIds, this.peers.quorums.readVoters) >= this.peers.quorums.accountQuorum
    })
  }

  /// Resolves to a turn's complete chain, oldest first, or to null once a quorum rules out that the turn was committed.
  /// A long chain is read in parts, the latest turns first, which may be on different members. `onPart` is called with
  /// each part, and may throw to end this; first with no more than a short one, so that it knows the length of the rest
  /// before that is read.
  async findChain (turnId: string, timeoutMs: number, onPart: OnChainPart = () => {}): Promise<LedgerRecord[] | null> {
    let deadlineMs = performance.now() + timeoutMs
    await this.waitUntilAvailable(deadlineMs)
    const parts: LedgerRecord[][] = []
    let maxBytes = maxFirstPartBytes
    for (let id = turnId; id !== '';) {
      const part = await this.findPart({ turnId: id, maxBytes }, deadlineMs)
      if (part === null && id === turnId) return null
      if (part === null) throw new QuorumError(`turn ${id}, which turn ${turnId} goes on from, is absent`)
      const readAtMs = performance.now()
      await onPart(part.chain, part.earlierBytes)
      deadlineMs += performance.now() - readAtMs
      parts.unshift(part.chain)
      if (part.chain.length > 0) id = part.chain[0]!.previousId
      maxBytes = 0
    }
    return parts.flat()
  }

  /// Resolves to the first reply that has the turn, or to null once a quorum rules out that it was committed. Queries
  /// the nearest member first, and the others as soon as it replies without the turn, or after `chainHedgeDelayMs`.
  private async findPart (query: PartQuery, deadlineMs: number): Promise<FindChainReply | null> {
    const { turnId } = query
    while (true) {
      const { version } = this.peers.view
      const { found, absentDiskIds } = await this.queryChain({ ...query, viewVersion: version }, deadlineMs)
      if (found !== null) return found
      const hasNewView = this.peers.view.version !== version
      if (hasNewView && performance.now() < deadlineMs) continue
      const { viewVersion } = this
      if (!hasNewView && this.isRuledOut(absentDiskIds)) {
        this.log.event(Events.turnRuledOut, { turnId, absentOn: [...absentDiskIds], viewVersion })
        return null
      }
      const absent = absentDiskIds.size
      this.log.event(Events.quorumMissed, { of: 'chain', turnId, absent, absentOn: [...absentDiskIds], viewVersion })
      throw new QuorumError(`turn neither found nor ruled out: absent on ${absent} storage instances, a quorum needs ${this.peers.quorums.absenceQuorum}`)
    }
  }

  /// Queries a turn until it is found or ruled out, or the view changes: what a disk lacked under an older view it may
  /// have copied by the newer one, so the replies of the two don't count together.
  private async queryChain (query: FindChainRequest, deadlineMs: number): Promise<ChainReplies> {
    const { viewVersion: version } = query
    const absentDiskIds = new Set<string>()
    let found: FindChainReply | null = null
    const isSameView = (): boolean => this.peers.view.version === version
    const fanout = new Fanout<PeerState>({
      getMembers: () => this.peers.getByPreference(),
      firstCount: 1,
      isDone: () => found !== null || !isSameView() || this.isRuledOut(absentDiskIds),
      hedgeDelayMs: chainHedgeDelayMs,
      deadlineMs,
      onMembers: this.peers.onView,
      send: async state => {
        const reply = await this.peers.sendWithRetry<FindChainReply>(
          state, (peer, limitMs, wait) => peer.findChain(query, limitMs, wait), { deadlineMs, failsFast: true }
        )
        if (reply === null || found !== null) return
        if (reply.chain.length > 0 || (reply.incomplete && query.maxBytes > 0)) found = reply
        else if (isSameView()) absentDiskIds.add(reply.standing!.diskId)
      }
    })
    await fanout.done
    return { found, absentDiskIds }
  }

  /// The member's disk, if it holds what it must by the current view. Must be called before a request is sent: a reply
  /// from before the disk was complete does not count, also if a newer view counts the disk.
  private findReadVoter ({ member }: PeerState): string | null {
    return this.peers.quorums.readVoters.has(member.diskId) ? member.diskId : null
  }

  /// Whether a turn that is absent on these disks was not committed.
  private isRuledOut (absentDiskIds: ReadonlySet<string>): boolean {
    const { readVoters, absenceQuorum } = this.peers.quorums
    return countVoters(absentDiskIds, readVoters) >= absenceQuorum
  }

  close (): void {
    this.peers.close()
  }

  /// Sends an append to as many members as a quorum needs, and to all if these don't reply soon. Without records it
  /// only reads the account of program `accountOf`. Requests to slower members go on once there is a quorum.
  private collect (
    records: readonly LedgerRecord[],
    { accountOf, timeoutMs, failsFast, signal }: CollectOptions,
    hasQuorum: (replies: ReadonlyMap<string, AppendReply>, completeDiskIds: ReadonlySet<string>) => boolean
  ): Collection {
    const deadlineMs = performance.now() + timeoutMs
    const options = { deadlineMs, failsFast, signal }
    const replies = new Map<string, AppendReply>()
    // Those that were complete when they were sent the request.
    const completeDiskIds = new Set<string>()
    const { viewVersion } = this
    const request = { viewVersion, records: [...records], accountOf }
    const { appendQuorum, accountQuorum } = this.peers.quorums
    // A disk that was still copying when it was asked counts for the account by now.
    const hasToAskAgain = (): boolean => accountOf !== '' &&
      [...replies.keys()].some(id => this.peers.quorums.readVoters.has(id) && !completeDiskIds.has(id))
    const fanout: Fanout<PeerState> = new Fanout<PeerState>({
      getMembers: () => this.peers.getByPreference(),
      firstCount: Math.max(appendQuorum, accountQuorum),
      isDone: () => hasQuorum(replies, completeDiskIds) || hasToAskAgain(),
      hedgeDelayMs: appendHedgeDelayMs,
      deadlineMs,
      onMembers: this.peers.onView,
      send: async state => {
        const voterDiskId = this.findReadVoter(state)
        const reply = await this.peers.sendWithRetry<AppendReply>(
          state, (peer, limitMs, wait) => peer.append(request, limitMs, wait), options
        )
        if (reply === null) return
        replies.set(reply.standing!.diskId, reply)
        if (reply.standing!.diskId === voterDiskId) completeDiskIds.add(voterDiskId)
        else if (accountOf !== '') this.peers.watchForView(fanout.done)
      }
    })
    const quorum = fanout.done.then(() => {
      if (hasQuorum(replies, completeDiskIds)) return
      this.log.event(Events.quorumMissed, {
        of: 'append',
        ids: records.map(record => record.id),
        answered: replies.size,
        viewVersion: this.peers.view.version
      })
      throw new QuorumError(`too few replies for a quorum: ${replies.size} storage instances replied in time`)
    })
    return { replies, viewVersion, quorum, askAll: () => fanout.sendToAll() }
  }

  private async waitUntilAvailable (deadlineMs: number): Promise<void> {
    const mayBeAvailable = await this.peers.waitForStart(deadlineMs)
    if (!mayBeAvailable) throw new QuorumError('too few storage instances are up to commit an append', false)
  }
}

function mergeAccounts (replies: ReadonlyMap<string, AppendReply>): AccountEntry[] {
  const account = new Map<string, AccountEntry>()
  for (const reply of replies.values()) {
    for (const entry of reply.account) account.set(entry.id, mergeAccountEntries(account.get(entry.id), entry))
  }
  return [...account.values()]
}

function countVoters (diskIds: Iterable<string>, voters: ReadonlySet<string>): number {
  let count = 0
  for (const diskId of diskIds) if (voters.has(diskId)) count++
  return count
}
