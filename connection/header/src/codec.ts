import { InvalidCallError } from '#request/call'
import type { Call, PrefixPart, ProgramRef, TokenUsage } from '#request/call'

/// The names of the header fields that the system reads and writes, in lower
/// case. `reserved` fields are set only by the system; those of a caller are dropped.
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
  readonly requestLimit: string
  readonly leaving: string
  readonly expectedInstance: string
  /// Name of the caller's workspace. Set only by the system; that of a caller is dropped.
  readonly workspace: string
  /// Name of the cookie that identifies the object that a request concerns.
  readonly affinityCookie: string
  readonly reserved: readonly string[]
}

/// Request line and headers of a caller's request.
export interface RequestHead {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  /// Names and values alternating, as they were received.
  readonly rawHeaders: readonly string[]
}

/// Status and headers of an upstream response.
export interface ResponseHead {
  readonly status: number
  /// Names in lower case.
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/// What the headers of an upstream response say about the request and the instance.
export interface ResponseFields {
  readonly callId: string | null
  readonly isSigned: boolean
  /// The upstream reports that it did not run the request.
  readonly isNotRun: boolean
  /// The body has a content encoding such as gzip.
  readonly isEncoded: boolean
  readonly load: UpstreamLoad | null
  /// Requests per second that the instance takes from all callers together; null if it names no limit.
  readonly requestLimitPerS: number | null
  /// The instance will stop and should get no new calls.
  readonly isLeaving: boolean
}

/// The load that an upstream instance reports with a response.
export interface UpstreamLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /// How long work takes there now, 100 as usual; absent if the instance doesn't say.
  readonly durationPercent?: number
}

/// Values for the headers that the system sets on a forwarded call.
export interface Dispatch {
  readonly instanceId: string
  readonly remainingMs: number
  /// The last event that the caller has received, -1 for none.
  readonly lastEventId: number
  /// Name of the workspace that the call counts for; null without one.
  readonly workspace: string | null
  /// Whether the system itself authenticates callers, so that their credentials aren't forwarded.
  readonly hidesCredentials: boolean
}

// The hop-by-hop headers of RFC 9110, section 7.6.1, and those that Node's HTTP stack sets itself.
const neverForwarded = ['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'content-length', 'host', 'expect']
const maxCallerTimeoutMs = 600_000
const defaultCallerTimeoutMs = 30_000
const maxCookieLength = 200
const credentialsField = 'authorization'
/// A figure beyond these is taken for the nearer one, so that a wrong one can't outweigh everything else.
const minDurationPercent = 20
const maxDurationPercent = 2000

/// Reads and writes the system's header fields, under the names that it is given.
export class HeaderCodec {
  private readonly droppedHeaders: ReadonlySet<string>
  private readonly callIdPattern: RegExp
  private readonly callerTimeoutPattern: RegExp

  constructor (private readonly names: HeaderNames) {
    this.droppedHeaders = new Set([
      ...neverForwarded,
      ...names.reserved,
      names.expectedInstance,
      names.workspace,
      names.callerTimeoutMs,
      names.lastEventId
    ])
    this.callIdPattern = new RegExp(`^${names.callId}:[ \\t]*(\\S{1,200})[ \\t]*$`, 'im')
    this.callerTimeoutPattern = new RegExp(`^${names.callerTimeoutMs}:[ \\t]*([\\d.]+)[ \\t]*$`, 'im')
  }

  /// Returns the call id in a request head as it was received, null if there is none. The text is not kept in memory.
  findCallId (head: string): string | null {
    const id = this.callIdPattern.exec(head)?.[1]
    // A substring would keep the whole text.
    return id === undefined ? null : Buffer.from(id, 'latin1').toString('latin1')
  }

  /// Returns the caller timeout in a request head as it was received, as `parseCall` reads it.
  findCallerTimeoutMs (head: string): number {
    return limitCallerTimeout(this.callerTimeoutPattern.exec(head)?.[1] ?? null)
  }

  /// Throws `InvalidCallError` if the call id or the host is missing or the call id has an invalid length. Malformed
  /// values of other fields are ignored.
  parseCall (head: RequestHead, receivedAtMs: number): Call {
    const { names } = this
    const { headers } = head
    const id = firstValue(headers[names.callId])
    if (id === null || id.length === 0 || id.length > 200) throw new InvalidCallError('call id needs 1-200 characters')
    const host = firstValue(headers.host)
    if (host === null) throw new InvalidCallError('the host header is missing')
    return {
      id,
      method: head.method,
      path: head.path,
      host,
      forwardedHeaders: this.filterRequestHeaders(head),
      callerTimeoutMs: limitCallerTimeout(firstValue(headers[names.callerTimeoutMs])),
      receivedAtMs,
      program: this.parseProgram(headers),
      previousTurnId: firstValue(headers[names.previousTurnId]),
      usage: parseUsage(firstValue(headers[names.usage])),
      prefix: parsePrefix(firstValue(headers[names.prefix])),
      affinityKey: findCookie(firstValue(headers.cookie), names.affinityCookie),
      bearerKey: parseBearerKey(firstValue(headers[credentialsField])),
      lastEventId: parsePositive(firstValue(headers[names.lastEventId])) ??
        (firstValue(headers[names.lastEventId]) === '0' ? 0 : -1)
    }
  }

  /// Returns the call id of a request, null without one.
  getCallId ({ headers }: RequestHead): string | null {
    return firstValue(headers[this.names.callId])
  }

  parseResponse ({ headers }: ResponseHead): ResponseFields {
    const { names } = this
    return {
      callId: firstValue(headers[names.callId]),
      isSigned: headers[names.signature] !== undefined,
      isNotRun: headers[names.notRun] !== undefined,
      isEncoded: headers['content-encoding'] !== undefined,
      load: parseLoad(firstValue(headers[names.load])),
      requestLimitPerS: parseNumber(firstValue(headers[names.requestLimit])),
      isLeaving: firstValue(headers[names.leaving]) === '1'
    }
  }

  /// Returns the headers to send upstream, names and values alternating.
  createRequestHeaders (call: Call, dispatch: Dispatch): string[] {
    const { names } = this
    const { instanceId, remainingMs, lastEventId, workspace, hidesCredentials } = dispatch
    const forwarded = hidesCredentials ? removeField(call.forwardedHeaders, credentialsField) : call.forwardedHeaders
    const headers = ['host', call.host, ...forwarded,
      names.callerTimeoutMs, String(Math.max(1, Math.floor(remainingMs))), names.expectedInstance, instanceId]
    if (lastEventId >= 0) headers.push(names.lastEventId, String(lastEventId))
    if (workspace !== null) headers.push(names.workspace, workspace)
    return headers
  }

  /// Returns the response headers to forward to the caller.
  filterResponseHeaders (head: ResponseHead): Record<string, string | string[]> {
    const connectionOptions = parseConnectionOptions(firstValue(head.headers.connection))
    const forwarded: Record<string, string | string[]> = {}
    for (const [name, value] of Object.entries(head.headers)) {
      if (value === undefined || neverForwarded.includes(name)) continue
      if (!connectionOptions.has(name)) forwarded[name] = value
    }
    return forwarded
  }

  /// Returns the header that identifies the call in a response generated by the system.
  createCallIdHeader (callId: string): Record<string, string> {
    return { [this.names.callId]: callId }
  }

  private filterRequestHeaders (head: RequestHead): string[] {
    const connectionOptions = parseConnectionOptions(firstValue(head.headers.connection))
    const forwarded: string[] = []
    for (let i = 0; i + 1 < head.rawHeaders.length; i += 2) {
      const name = head.rawHeaders[i]!.toLowerCase()
      if (this.droppedHeaders.has(name) || connectionOptions.has(name)) continue
      forwarded.push(head.rawHeaders[i]!, head.rawHeaders[i + 1]!)
    }
    return forwarded
  }

  private parseProgram (headers: RequestHead['headers']): ProgramRef | null {
    const { names } = this
    const id = firstValue(headers[names.programId])
    if (id === null) return null
    return {
      id,
      sessionId: firstValue(headers[names.sessionId]) ?? id,
      remainingMs: parseRemaining(firstValue(headers[names.programRemainingMs])),
      tokenBudget: parseCount(firstValue(headers[names.tokenBudget]))
    }
  }
}

/// Returns the fields of other names than `removed`, which is in lower case; names and values alternating.
function removeField (fields: readonly string[], removed: string): string[] {
  return fields.filter((_, i) => fields[i - i % 2]!.toLowerCase() !== removed)
}

function firstValue (value: string | string[] | undefined): string | null {
  if (value === undefined) return null
  return Array.isArray(value) ? value[0] ?? null : value
}

function parseConnectionOptions (connection: string | null): ReadonlySet<string> {
  if (connection === null) return new Set()
  return new Set(connection.split(',').map(name => name.trim().toLowerCase()))
}

/// Returns the value of the first cookie of this name, null if there is none.
function findCookie (cookies: string | null, name: string): string | null {
  for (const cookie of cookies?.split(';') ?? []) {
    const separator = cookie.indexOf('=')
    if (separator < 0 || cookie.slice(0, separator).trim().toLowerCase() !== name) continue
    const value = cookie.slice(separator + 1).trim()
    if (value !== '' && value.length <= maxCookieLength) return value
  }
  return null
}

/// Returns the token of the Bearer scheme (RFC 6750, section 2.1), null for other credentials.
function parseBearerKey (authorization: string | null): string | null {
  return /^bearer +(\S+) *$/i.exec(authorization ?? '')?.[1] ?? null
}

function limitCallerTimeout (text: string | null): number {
  return Math.min(parsePositive(text) ?? defaultCallerTimeoutMs, maxCallerTimeoutMs)
}

function parsePositive (text: string | null): number | null {
  const value = parseNumber(text)
  return value !== null && value > 0 ? value : null
}

/// Returns the time left, 0 for a negative one, null for none or a malformed one.
function parseRemaining (text: string | null): number | null {
  return text !== null && /^-\d{1,12}(\.\d{1,9})?$/.test(text) ? 0 : parseNumber(text)
}

function parseNumber (text: string | null): number | null {
  return text !== null && /^\d{1,12}(\.\d{1,9})?$/.test(text) ? Number(text) : null
}

function parseCount (text: string | null): number | null {
  return text !== null && /^\d{1,12}$/.test(text) ? Number(text) : null
}

function parseUsage (text: string | null): TokenUsage | null {
  const match = /^(\d{1,9}),(\d{1,9})$/.exec(text ?? '')
  return match === null ? null : { promptTokens: Number(match[1]), maxOutputTokens: Number(match[2]) }
}

function parsePrefix (text: string | null): PrefixPart[] {
  if (text === null) return []
  const parts: PrefixPart[] = []
  for (const entry of text.split(',')) {
    const match = /^\s*([0-9a-fA-F]{1,32}):(\d{1,9})\s*$/.exec(entry)
    if (match === null) return []
    parts.push({ id: match[1]!, tokens: Number(match[2]) })
  }
  return parts
}

function parseLoad (text: string | null): UpstreamLoad | null {
  const match = /^(\d{1,6}),\s*(\d{1,6}),\s*(\d{1,6})(?:,([^,]*).*)?$/.exec(text ?? '')
  if (match === null) return null
  const load = { running: Number(match[1]), waiting: Number(match[2]), slots: Number(match[3]) }
  const durationPercent = parsePositive(match[4]?.trim() ?? null)
  return durationPercent === null ? load : { ...load, durationPercent: limitDurationPercent(durationPercent) }
}

function limitDurationPercent (percent: number): number {
  return Math.min(Math.max(percent, minDurationPercent), maxDurationPercent)
}
