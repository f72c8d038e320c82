import { InvalidCallError } from '#request/call'
import type { Call, PrefixPart, ProgramRef, TokenUsage } from '#request/call'

/// The names that an HTTP dialect gives to the product's header fields, in
/// lower case. `reserved` are set by the system only: a caller's are dropped.
export interface HeaderNames {
  readonly callId: string
  readonly callerTimeoutMs: string
  readonly usage: string
  readonly prefix: string
  readonly programId: string
  readonly sessionId: string
  readonly programRemainingMs: string
  readonly tokenBudget: string
  readonly previousTurnId: string
  readonly lastEventId: string
  readonly signature: string
  readonly notRun: string
  readonly load: string
  readonly expectedInstance: string
  readonly reserved: readonly string[]
}

/// What a caller's request says before its body.
export interface RequestHead {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly rawHeaders: readonly string[]
}

/// What an upstream's answer says before its body.
export interface ResponseHead {
  readonly status: number
  /// Names in lower case.
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/// An answer's head in the product's terms.
export interface ResponseFields {
  readonly callId: string | null
  readonly isSigned: boolean
  /// The upstream says that it did not run the request.
  readonly isNotRun: boolean
  readonly isEncoded: boolean
  readonly load: UpstreamLoad | null
}

/// What an upstream tells of itself with an answer.
export interface UpstreamLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/// What the system adds when it passes a call on.
export interface Dispatch {
  readonly instanceId: string
  readonly remainingMs: number
  /// The last event that the caller holds, -1 for none.
  readonly lastEventId: number
}

// RFC 9110, section 7.6.1, and what Node's own HTTP stack sets.
const hopByHop = ['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'content-length', 'host', 'expect']
const maxPatienceMs = 600_000
const defaultPatienceMs = 30_000

/// Reads and writes the product's header fields in one dialect of HTTP.
export class HeaderCodec {
  private readonly dropped: ReadonlySet<string>

  constructor (private readonly names: HeaderNames) {
    this.dropped = new Set([
      ...hopByHop,
      ...names.reserved,
      names.expectedInstance,
      names.callerTimeoutMs,
      names.lastEventId
    ])
  }

  /// Throws `InvalidCallError` where a field that the product needs is missing or malformed.
  readCall (head: RequestHead, receivedAtMs: number): Call {
    const { names } = this
    const { headers } = head
    const id = one(headers[names.callId])
    if (id === null || id.length === 0 || id.length > 200) throw new InvalidCallError('no usable call id')
    const host = one(headers.host)
    if (host === null) throw new InvalidCallError('no host')
    return {
      id,
      method: head.method,
      path: head.path,
      host,
      forwardedHeaders: this.passed(head),
      callerTimeoutMs: Math.min(positive(one(headers[names.callerTimeoutMs])) ?? defaultPatienceMs, maxPatienceMs),
      receivedAtMs,
      program: this.readProgram(headers),
      previousTurnId: one(headers[names.previousTurnId]),
      usage: readUsage(one(headers[names.usage])),
      prefix: readPrefix(one(headers[names.prefix])),
      lastEventId: positive(one(headers[names.lastEventId])) ?? (one(headers[names.lastEventId]) === '0' ? 0 : -1)
    }
  }

  readResponse ({ headers }: ResponseHead): ResponseFields {
    const { names } = this
    return {
      callId: one(headers[names.callId]),
      isSigned: headers[names.signature] !== undefined,
      isNotRun: headers[names.notRun] !== undefined,
      isEncoded: headers['content-encoding'] !== undefined,
      load: readLoad(one(headers[names.load]))
    }
  }

  /// The headers to send upstream, names and values alternating.
  writeDispatch (call: Call, dispatch: Dispatch): string[] {
    const { names } = this
    const headers = ['host', call.host, ...call.forwardedHeaders,
      names.callerTimeoutMs, String(Math.max(1, Math.floor(dispatch.remainingMs))),
      names.expectedInstance, dispatch.instanceId]
    if (dispatch.lastEventId >= 0) headers.push(names.lastEventId, String(dispatch.lastEventId))
    return headers
  }

  /// The headers of an answer that go to the caller.
  filterResponseHeaders (head: ResponseHead): Record<string, string | string[]> {
    const listed = listedIn(one(head.headers.connection))
    const passed: Record<string, string | string[]> = {}
    for (const [name, value] of Object.entries(head.headers)) {
      if (value !== undefined && !hopByHop.includes(name) && !listed.has(name)) passed[name] = value
    }
    return passed
  }

  /// The header that names the call in an answer of the system's own.
  writeCallId (callId: string): Record<string, string> {
    return { [this.names.callId]: callId }
  }

  private passed (head: RequestHead): string[] {
    const listed = listedIn(one(head.headers.connection))
    const passed: string[] = []
    for (let i = 0; i + 1 < head.rawHeaders.length; i += 2) {
      const name = head.rawHeaders[i]!.toLowerCase()
      if (this.dropped.has(name) || listed.has(name)) continue
      passed.push(head.rawHeaders[i]!, head.rawHeaders[i + 1]!)
    }
    return passed
  }

  private readProgram (headers: RequestHead['headers']): ProgramRef | null {
    const { names } = this
    const id = one(headers[names.programId])
    if (id === null) return null
    return {
      id,
      sessionId: one(headers[names.sessionId]) ?? id,
      remainingMs: positive(one(headers[names.programRemainingMs])) ?? 0,
      tokenBudget: count(one(headers[names.tokenBudget]))
    }
  }
}

function one (value: string | string[] | undefined): string | null {
  if (value === undefined) return null
  return Array.isArray(value) ? value[0] ?? null : value
}

function listedIn (connection: string | null): ReadonlySet<string> {
  if (connection === null) return new Set()
  return new Set(connection.split(',').map(name => name.trim().toLowerCase()))
}

function positive (text: string | null): number | null {
  if (text === null || !/^\d{1,12}(\.\d{1,9})?$/.test(text)) return null
  const value = Number(text)
  return value > 0 ? value : null
}

function count (text: string | null): number | null {
  return text !== null && /^\d{1,12}$/.test(text) ? Number(text) : null
}

function readUsage (text: string | null): TokenUsage | null {
  const match = /^(\d{1,9}),(\d{1,9})$/.exec(text ?? '')
  return match === null ? null : { promptTokens: Number(match[1]), maxOutputTokens: Number(match[2]) }
}

function readPrefix (text: string | null): PrefixPart[] {
  if (text === null) return []
  const parts: PrefixPart[] = []
  for (const entry of text.split(',')) {
    const match = /^\s*([0-9a-fA-F]{1,32}):(\d{1,9})\s*$/.exec(entry)
    if (match === null) return []
    parts.push({ id: match[1]!, tokens: Number(match[2]) })
  }
  return parts
}

function readLoad (text: string | null): UpstreamLoad | null {
  const match = /^(\d{1,6}),\s*(\d{1,6}),\s*(\d{1,6})$/.exec(text ?? '')
  return match === null ? null : { running: Number(match[1]), waiting: Number(match[2]), slots: Number(match[3]) }
}
