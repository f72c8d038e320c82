import { MessageTracker } from './messagetracker.js'

const statusNoContent = 204
const statusNotModified = 304

/// Follows the responses in the bytes of an entry's connection, to know how many are complete.
export class ResponseTracker extends MessageTracker {
  /// Whether a response says that the connection ends with it: what follows on it is no request.
  isLast = false
  /// Whether the request that is answered has the method HEAD.
  isToHead = false

  protected override readHead (head: string): number | null {
    const status = Number(head.split(' ', 2)[1])
    if (/^connection:(?:[^\r\n]*,)?[ \t]*close[ \t]*(?:,|$)/im.test(head)) this.isLast = true
    // The response follows.
    if (status < 200) this.begun--
    const hasNoBody = status < 200 || status === statusNoContent || status === statusNotModified || this.isToHead
    // Without a length it ends with the connection.
    return hasNoBody ? null : Infinity
  }
}
