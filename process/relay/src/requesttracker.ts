import { MessageTracker, findContentLength } from './messagetracker.js'

/// Follows the requests in the bytes of a caller's connection, to know whether it is between two of them.
export class RequestTracker extends MessageTracker {
  protected override readHead (head: string): number {
    // The response to it has a length, and no body.
    if (/^HEAD /i.test(head)) this.begun = Infinity
    return findContentLength(head) ?? 0
  }
}
