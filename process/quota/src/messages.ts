import type { DatagramFields } from '#connection/datagram'
import type { CreditDemand } from './tokenbucket.js'

/// The type of datagrams about quotas.
export const quotaDatagramType = 'quota'

/// What one entry tells another about quotas. Unknown fields are ignored, and messages of another version dropped.
export const MessageKind = { ask: 'ask', reply: 'reply', check: 'check', take: 'take', state: 'state' } as const

/// Asks a coordinator for credit and returns unspent credit.
export interface AskMessage extends CreditDemand {
  readonly kind: typeof MessageKind.ask
  /// Name of the entry that sends the datagram.
  readonly sender: string
  /// The process that asks; a restarted entry is another one.
  readonly client: string
  /// Increases with each request of a client, from a random one on; a retry has the same one.
  readonly number: number
  readonly workspace: string
  /// Unspent credit of the bucket `bucket`.
  readonly returned: number
  /// The bucket that the returned credit was granted from; '' if none is returned.
  readonly bucket: string
  /// Where the reply is to be passed on to, if another entry has forwarded the request; '' otherwise.
  readonly replyTo: string
}

/// How a request for credit ended.
export const ReplyStatus = {
  granted: 'granted',
  /// Another reply follows.
  pending: 'pending',
  /// The coordinator's configuration lacks the workspace.
  unknown: 'unknown',
  /// The coordinator reaches no other entry.
  cutOff: 'cut-off',
  /// Another entry that the coordinator reaches comes before it.
  moved: 'moved'
} as const

export type ReplyStatus = typeof ReplyStatus[keyof typeof ReplyStatus]

/// A coordinator's reply to a request, with the credit that it grants.
export interface ReplyMessage {
  readonly kind: typeof MessageKind.reply
  readonly sender: string
  /// That of the request.
  readonly number: number
  readonly status: ReplyStatus
  readonly continuing: number
  readonly starting: number
  readonly spare: number
  /// After how long credit is due for calls that got none; 0 if all got theirs.
  readonly continuingDueMs: number
  readonly startingDueMs: number
  /// The bucket's level after the grant.
  readonly level: number
  /// The coordinator's bucket; '' if the reply is not from one.
  readonly bucket: string
  /// That of the request.
  readonly replyTo: string
}

/// Asks whether an entry is reached. A coordinator that acts in its place says what it has granted.
export interface CheckMessage {
  readonly kind: typeof MessageKind.check
  readonly sender: string
  readonly number: number
  /// '' if the check is not about a workspace.
  readonly workspace: string
  /// The bucket that the sender holds; '' if it holds none.
  readonly bucket: string
  /// What the sender has granted from the bucket so far.
  readonly granted: number
}

/// Asks for the bucket that an entry holds in place of the sender, which comes before it.
export interface TakeMessage {
  readonly kind: typeof MessageKind.take
  readonly sender: string
  /// The process that asks.
  readonly client: string
  readonly number: number
  readonly workspace: string
}

/// The response to a check or a take.
export interface StateMessage {
  readonly kind: typeof MessageKind.state
  readonly sender: string
  readonly number: number
  /// The bucket that is handed over; '' if there is none.
  readonly bucket: string
  readonly level: number
  readonly granted: number
}

export type QuotaMessage = AskMessage | ReplyMessage | CheckMessage | TakeMessage | StateMessage

/// Increases with a change that older entries would misread.
const protocolVersion = 1
/// Bounds counts of requests, so that a malformed message can't ask for or return an arbitrary amount.
const maxCount = 1e6

/// Returns the fields of a datagram. Numbers of 0 and empty texts are left out.
export function formatMessage (message: QuotaMessage): object {
  const fields = Object.entries(message).filter(([, value]) => value !== 0 && value !== '')
  return { version: protocolVersion, ...Object.fromEntries(fields) }
}

type Reader = (fields: DatagramFields) => QuotaMessage | null

const readers: Readonly<Record<QuotaMessage['kind'], Reader>> = {
  ask: fields => ({
    kind: MessageKind.ask,
    ...readHead(fields),
    ...readDemand(fields),
    client: readText(fields.client),
    workspace: readText(fields.workspace),
    returned: readCount(fields.returned),
    bucket: readText(fields.bucket),
    replyTo: readText(fields.replyTo)
  }),
  reply: fields => {
    const status = Object.values(ReplyStatus).find(value => value === fields.status)
    return status === undefined
      ? null
      : {
          kind: MessageKind.reply,
          ...readHead(fields),
          ...readDemand(fields),
          status,
          continuingDueMs: readAmount(fields.continuingDueMs),
          startingDueMs: readAmount(fields.startingDueMs),
          level: readNumber(fields.level),
          bucket: readText(fields.bucket),
          replyTo: readText(fields.replyTo)
        }
  },
  check: fields => ({
    kind: MessageKind.check,
    ...readHead(fields),
    workspace: readText(fields.workspace),
    bucket: readText(fields.bucket),
    granted: readCount(fields.granted)
  }),
  take: fields => ({
    kind: MessageKind.take,
    ...readHead(fields),
    client: readText(fields.client),
    workspace: readText(fields.workspace)
  }),
  state: fields => ({
    kind: MessageKind.state,
    ...readHead(fields),
    bucket: readText(fields.bucket),
    level: readNumber(fields.level),
    granted: readCount(fields.granted)
  })
}

/// Returns null if the fields are not those of a message of this version.
export function parseMessage (fields: DatagramFields): QuotaMessage | null {
  const { version, kind, sender, number } = fields
  if (version !== protocolVersion || typeof kind !== 'string' || !Object.hasOwn(readers, kind)) return null
  if (typeof sender !== 'string' || sender === '' || !Number.isSafeInteger(number)) return null
  return readers[kind as QuotaMessage['kind']](fields)
}

function readHead (fields: DatagramFields): { sender: string, number: number } {
  return { sender: fields.sender as string, number: fields.number as number }
}

function readDemand ({ continuing, starting, spare }: DatagramFields): CreditDemand {
  return { continuing: readCount(continuing), starting: readCount(starting), spare: readCount(spare) }
}

function readText (value: unknown): string {
  return typeof value === 'string' ? value : ''
}

function readNumber (value: unknown): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : 0
}

function readAmount (value: unknown): number {
  return Math.max(0, readNumber(value))
}

function readCount (value: unknown): number {
  return Math.min(maxCount, Math.floor(readAmount(value)))
}
