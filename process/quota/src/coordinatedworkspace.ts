import type { AskMessage, ReplyMessage, StateMessage } from './messages.js'
import type { Member } from './ranking.js'
import type { TokenBucket } from './tokenbucket.js'

/// Sends a reply to the client of a request.
export type Respond = (reply: ReplyMessage) => void

/// A bucket that this entry holds, and how much of it has been granted and not returned.
export interface HeldBucket {
  readonly id: string
  readonly bucket: TokenBucket
  granted: number
  /// Whether it is held in place of an entry that comes before.
  isActing: boolean
  /// The state of contacts and of the list under which no other entry holds one.
  epoch: number
  membersVersion: number
}

/// The last request of a client. A retry of it gets the same reply.
export interface LastRequest {
  readonly number: number
  reply: ReplyMessage | null
  readonly atMs: number
}

/// A request for credit, and where its reply goes.
export interface QueuedRequest {
  readonly ask: AskMessage
  respond: Respond
}

/// What this entry knows of a workspace as its coordinator.
export interface CoordinatedWorkspace {
  readonly name: string
  held: HeldBucket | null
  /// By client.
  readonly lastRequests: Map<string, LastRequest>
  /// Requests that wait until it is known whether this entry may grant credit.
  queue: QueuedRequest[]
  isVerifying: boolean
  verifiedAtMs: number
  /// The entry that comes before and is reached; requests are forwarded to it for a while.
  superior: Member | null
  superiorUntilMs: number
  /// Counts how often another entry was found to come before, so that a verification meanwhile is void.
  releases: number
  /// An entry that has taken the bucket, and what it got. It may not be listed here yet.
  taker: Member | null
  handedOver: { readonly client: string, readonly number: number, readonly state: StateMessage } | null
  /// What has been deducted for grants of other coordinators, by bucket.
  readonly deducted: Map<string, number>
  usedAtMs: number
}

/// Full buckets that are unused for so long are forgotten. One that is held in place of another entry would begin empty
/// again, so it is kept for longer.
const forgetMs = 10_000
export const forgetActingMs = 300_000
/// How many buckets of other coordinators are remembered for one workspace.
const maxDeductions = 8

/// Returns what an entry that has not coordinated the workspace knows of it.
export function createCoordinatedWorkspace (name: string): CoordinatedWorkspace {
  return {
    name,
    held: null,
    lastRequests: new Map(),
    queue: [],
    isVerifying: false,
    verifiedAtMs: -Infinity,
    superior: null,
    superiorUntilMs: 0,
    releases: 0,
    taker: null,
    handedOver: null,
    deducted: new Map(),
    usedAtMs: performance.now()
  }
}

/// Deducts what another coordinator has granted from `bucket` in all, as far as it has not been deducted before.
export function deduct ({ deducted }: CoordinatedWorkspace, held: HeldBucket, bucket: string, granted: number): void {
  const known = deducted.get(bucket) ?? 0
  if (granted <= known) return
  deducted.delete(bucket)
  deducted.set(bucket, granted)
  if (deducted.size > maxDeductions) deducted.delete(deducted.keys().next().value!)
  held.bucket.deduct(granted - known, performance.now())
}

/// Whether nothing is lost if the state is dropped.
export function isForgettable (state: CoordinatedWorkspace, nowMs: number): boolean {
  const { held, queue, usedAtMs, isVerifying, taker } = state
  if (queue.length > 0 || isVerifying) return false
  const unusedMs = nowMs - usedAtMs
  if (held === null) return unusedMs > (taker === null ? forgetMs : forgetActingMs)
  return unusedMs > (held.isActing ? forgetActingMs : forgetMs) && held.bucket.isFull(nowMs)
}
