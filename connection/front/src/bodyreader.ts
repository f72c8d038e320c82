import type { IncomingMessage } from 'node:http'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { RequestMemory } from '#request/call'
import { ByteCollector } from '#process/memory'

interface Reading {
  readonly body: ByteCollector
  readonly resolve: (body: Buffer) => void
  readonly reject: (error: unknown) => void
}

/// Reads the body of one request. Keeps nothing of it once it has been read or refused: a connection that is kept open
/// keeps its newest request.
export class BodyReader {
  /// Null before and after.
  private reading: Reading | null = null
  /// Set if its rest can't be read.
  private problem: RefusedError | null = null

  constructor (private readonly request: IncomingMessage) {}

  /// Rejects with `RefusedError` if the body is too large or incomplete, or there is no memory for it. Its rest is then
  /// read and dropped.
  read (maxBytes: number, memory: RequestMemory, signal?: AbortSignal): Promise<Buffer> {
    const { request } = this
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) return Promise.reject(bodyTooLargeError(maxBytes))
    if (this.problem !== null) return Promise.reject(this.problem)
    if (signal?.aborted === true) return Promise.reject(lateError())
    let receivedBytes = 0
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes > maxBytes) this.refuse(bodyTooLargeError(maxBytes))
      else this.add(chunk, memory)
    })
    request.once('error', () => this.refuse(incompleteError()))
    request.once('close', () => this.refuse(incompleteError()))
    request.once('end', () => this.finish())
    signal?.addEventListener('abort', () => this.refuse(lateError()), { once: true })
    return new Promise((resolve, reject) => { this.reading = { body: new ByteCollector(), resolve, reject } })
  }

  /// Ends the reading of a body whose rest can't be read.
  fail (): void {
    this.problem = incompleteError()
    this.refuse(this.problem)
  }

  /// Ends the reading of a body that has not arrived in time.
  expire (): void {
    this.problem = lateError()
    this.refuse(this.problem)
  }

  private add (chunk: Buffer, memory: RequestMemory): void {
    if (this.reading === null) return
    try {
      memory.assertAdd(chunk.length)
      this.reading.body.add(chunk)
    } catch (error) {
      this.refuse(error)
    }
  }

  private refuse (error: unknown): void {
    this.reading?.reject(error)
    this.reading = null
  }

  private finish (): void {
    this.reading?.resolve(this.reading.body.toBuffer())
    this.reading = null
  }
}

function bodyTooLargeError (maxBytes: number): RefusedError {
  return new RefusedError(Refusal.bodyTooLarge, Verdict.notRun, `the request body is larger than ${maxBytes} bytes`)
}

function incompleteError (): RefusedError {
  return new RefusedError(Refusal.invalid, Verdict.notRun, 'the request body is incomplete')
}

function lateError (): RefusedError {
  return new RefusedError(Refusal.timedOut, Verdict.notRun, 'the request body has not arrived in time')
}
