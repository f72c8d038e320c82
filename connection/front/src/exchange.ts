import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestHead } from '#connection/header'
import { Refusal, RefusedError, Verdict } from '#request/call'

/// One request of a caller and the answer to it.
export class Exchange {
  private isAnswered = false

  constructor (private readonly request: IncomingMessage, private readonly response: ServerResponse) {}

  get head (): RequestHead {
    const { method, url, headers, rawHeaders } = this.request
    return { method: method ?? 'GET', path: url ?? '/', headers, rawHeaders }
  }

  /// Whether the head of an answer has gone out.
  get hasStarted (): boolean {
    return this.isAnswered
  }

  get isFinished (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /// Calls back when the caller has left before the answer was whole.
  onDisconnect (listener: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) listener()
    })
  }

  /// Rejects with `RefusedError` where the body is too large or breaks off.
  readBody (maxBytes: number): Promise<Buffer> {
    const { request } = this
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) return Promise.reject(tooLarge(maxBytes))
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = []
      let bytes = 0
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length
        if (bytes > maxBytes) reject(tooLarge(maxBytes))
        else chunks.push(chunk)
      })
      const breakOff = (): void => reject(new RefusedError(Refusal.invalid, Verdict.notRun, 'the body broke off'))
      request.once('error', breakOff)
      request.once('close', breakOff)
      request.once('end', () => {
        request.off('close', breakOff)
        resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
      })
    })
  }

  /// Sends a whole answer. `isLast` asks the caller to open a new connection next.
  respond (status: number, headers: ResponseHeaders, body: Buffer, isLast: boolean): void {
    if (this.isAnswered || this.isFinished) return
    this.isAnswered = true
    this.response.writeHead(status, this.framed(headers, isLast, { 'content-length': String(body.length) }))
    this.response.end(body)
  }

  /// Sends the head of an answer whose body follows in pieces.
  startResponse (status: number, headers: ResponseHeaders, isLast: boolean): void {
    if (this.isAnswered || this.isFinished) return
    this.isAnswered = true
    this.response.writeHead(status, this.framed(headers, isLast, {}))
    this.response.flushHeaders()
  }

  write (bytes: Buffer): void {
    if (!this.isFinished) this.response.write(bytes)
  }

  end (): void {
    if (!this.isFinished) this.response.end()
  }

  /// Closes the connection, so that what was sent can't be taken for a whole answer.
  abort (): void {
    this.isAnswered = true
    this.response.destroy()
  }

  private framed (headers: ResponseHeaders, isLast: boolean, framing: Record<string, string>): ResponseHeaders {
    return isLast ? { ...headers, ...framing, connection: 'close' } : { ...headers, ...framing }
  }
}

export type ResponseHeaders = Record<string, string | string[]>

function tooLarge (maxBytes: number): RefusedError {
  return new RefusedError(Refusal.bodyTooLarge, Verdict.notRun, `the body is larger than ${maxBytes} bytes`)
}
