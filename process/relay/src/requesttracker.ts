import { MessageTracker } from './messagetracker.js'

/// Returns the call id in a request head, null if there is none.
export type FindCallId = (head: string) => string | null

/// Follows the requests in the bytes of a caller's connection, to know whether it is between two of them.
export class RequestTracker extends MessageTracker {
  /// Whether the latest request has the method HEAD: the response to it has a length, and no body.
  isHead = false
  /// The id of the latest request, null if it has none.
  callId: string | null = null

  constructor (private readonly findCallId: FindCallId = () => null) {
    super()
  }

  protected override readHead (head: string): number {
    this.callId = this.findCallId(head)
    this.isHead = /^HEAD /i.test(head)
    return 0
  }
}
