import { MessageTracker } from './messagetracker.js'

/// Follows the requests in the bytes of a caller's connection, to know whether it is between two of them.
export class RequestTracker extends MessageTracker {
  /// Whether the latest request has the method HEAD: the response to it has a length, and no body.
  isHead = false

  protected override readHead (head: string): number {
    this.isHead = /^HEAD /i.test(head)
    return 0
  }
}
