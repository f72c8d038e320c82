import { MessageTracker } from './messagetracker.js'

/// Reads what the relay needs to know of a request from its head.
export interface RequestReader {
  /// Returns the call id, null if there is none.
  readonly findCallId: (head: string) => string | null
  /// Returns how long after its arrival the request must have its response.
  readonly findTimeoutMs: (head: string) => number
}

/// Follows the requests in the bytes of a caller's connection, to know whether it is between two of them.
export class RequestTracker extends MessageTracker {
  /// Whether the latest request has the method HEAD: the response to it has a length, and no body.
  isHead = false
  /// Of the latest request, until its response is complete.
  private head = ''
  private arrivedAtMs = 0
  private knownDeadlineMs: number | null = null

  constructor (private readonly reader?: RequestReader) {
    super()
  }

  /// The id of the latest request, null if it has none.
  get callId (): string | null {
    return this.reader?.findCallId(this.head) ?? null
  }

  /// When the latest request must have its response, on the monotonic clock of `performance.now()`. It is read from the
  /// head only once it is asked for.
  get deadlineMs (): number {
    this.knownDeadlineMs ??= this.arrivedAtMs + (this.reader?.findTimeoutMs(this.head) ?? Infinity)
    return this.knownDeadlineMs
  }

  /// Whether the caller expects its connection to end with the response to the latest request.
  get endsConnection (): boolean {
    return /^\S+ \S+ HTTP\/1\.0|^connection:(?:[^\r\n]*,)?[ \t]*close[ \t]*(?:,|$)/im.test(this.head)
  }

  /// Must be called when the latest request has its response: its text isn't kept in memory.
  forgetHead (): void {
    this.head = ''
  }

  protected override readHead (head: string): number {
    this.head = head
    this.arrivedAtMs = performance.now()
    this.knownDeadlineMs = null
    this.isHead = /^HEAD /i.test(head)
    return 0
  }
}
