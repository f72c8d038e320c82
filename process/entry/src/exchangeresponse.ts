import { Refusal } from '#request/call'
import type { Call, RefusedError } from '#request/call'
import type { CallerResponse, ForwardContext } from '#request/forward'
import type { Commit } from '#request/turn'
import type { DisconnectCause, Exchange } from '#connection/front'
import type { HeaderCodec, ResponseHead } from '#connection/header'
import { Events } from '#process/log'
import type { EventFields } from '#process/log'
import type { MemoryShare } from '#process/memory'
import type { RelayOrigin } from '#process/relay'
import type { EntryState } from './serve.js'

/// The caller should use a new connection: another entry may have a configuration, and the rest of a body that is too
/// large would have to be read.
const closingRefusals: ReadonlySet<Refusal> = new Set([Refusal.noConfiguration, Refusal.bodyTooLarge])
/// Less of a response that waits for its caller is not counted as memory.
const minCountedBytes = 64 * 1024

/// Writes the response of one exchange, and records its status and size.
export class ExchangeResponse implements CallerResponse {
  /// Null as long as the request hasn't been parsed.
  call: Call | null = null
  status = 0
  bytes = 0
  /// Set when the response was broken off, and logged, for want of memory.
  isBrokenOff = false
  /// Null unless it is a turn that was stored.
  private commit: Commit | null = null
  /// What waits for the caller, if that is much.
  private memory: MemoryShare | null = null

  constructor (
    private readonly exchange: Exchange,
    private readonly context: ForwardContext,
    private readonly state: Pick<EntryState, 'shouldCloseConnection'>,
    private readonly origin: RelayOrigin | null
  ) {}

  private get codec (): HeaderCodec {
    return this.context.codec
  }

  /// Name of the entry that relays the connection.
  get relayedBy (): string | undefined {
    return this.origin?.entry
  }

  get hasStarted (): boolean {
    return this.exchange.hasStarted
  }

  get isDelivered (): boolean {
    return this.exchange.isDelivered
  }

  get disconnectCause (): DisconnectCause | null {
    return this.exchange.disconnectCause
  }

  onClose (listener: () => void): void {
    this.exchange.onClose(listener)
  }

  /// Returns the fields of the event that ends the call. `call` is null if the request names none.
  describe (call: Call | null, receivedAtMs: number): EventFields {
    return {
      callId: call?.id ?? '',
      programId: call?.program?.id,
      previousTurnId: call?.previousTurnId ?? undefined,
      relayedBy: this.relayedBy,
      status: this.status,
      bytes: this.bytes,
      storedOn: this.commit?.diskIds,
      storedInView: this.commit?.viewVersion,
      durationMs: Math.round(performance.now() - receivedAtMs)
    }
  }

  private get isLast (): boolean {
    return this.state.shouldCloseConnection(this.origin)
  }

  respond (head: ResponseHead, body: Buffer): void {
    this.status = head.status
    this.bytes = body.length
    this.exchange.respond(head.status, this.codec.filterResponseHeaders(head), body, this.isLast)
    this.countPending()
  }

  startResponse (head: ResponseHead): void {
    this.status = head.status
    this.exchange.startResponse(head.status, this.codec.filterResponseHeaders(head), this.isLast)
  }

  write (bytes: Buffer): void {
    this.bytes += bytes.length
    this.exchange.write(bytes)
    this.countPending()
  }

  setCommit (commit: Commit): void {
    this.commit = commit
  }

  end (): void {
    this.exchange.end()
  }

  abort (): void {
    this.exchange.abort()
  }

  /// Counts what the caller has not read yet as memory. A response is broken off if there is none left.
  private countPending (): void {
    const { pendingBytes } = this.exchange
    if (this.memory === null) {
      if (pendingBytes < minCountedBytes) return
      const memory = this.memory = this.context.responseMemory.open()
      this.exchange.onClose(() => memory.close())
    }
    if (this.isBrokenOff || this.memory.set(pendingBytes)) return
    const reason = `the caller reads too slowly for the memory that is left: ${pendingBytes} bytes wait`
    const { call, relayedBy, bytes } = this
    this.context.log.event(Events.answerBroken, {
      callId: call?.id ?? '',
      programId: call?.program?.id,
      previousTurnId: call?.previousTurnId ?? undefined,
      relayedBy,
      reason,
      bytes
    })
    this.isBrokenOff = true
    this.abort()
  }

  refuse (refused: RefusedError, call: Call | null): void {
    this.status = refused.status
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      ...(call === null ? {} : this.codec.createCallIdHeader(call.id)),
      ...(refused.refusal === Refusal.unauthorized ? { 'www-authenticate': 'Bearer' } : {}),
      ...(refused.retryAfterMs > 0 ? { 'retry-after': String(refused.retryAfterMs / 1000) } : {})
    }
    const body = JSON.stringify({
      error: {
        code: refused.refusal,
        verdict: refused.verdict,
        message: refused.message,
        retryAfterMs: refused.retryAfterMs
      }
    })
    this.exchange.respond(
      refused.status,
      headers,
      Buffer.from(body),
      this.isLast || call === null || closingRefusals.has(refused.refusal)
    )
  }
}
