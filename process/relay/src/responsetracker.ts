import { MessageTracker, findContentLength } from './messagetracker.js'

const statusNoContent = 204
const statusNotModified = 304

/// Follows the responses in the bytes of an entry's connection, to know how many are complete.
export class ResponseTracker extends MessageTracker {
  /// Whether a response says that the connection ends with it: what follows on it is no request.
  isLast = false

  protected override readHead (head: string): number {
    const status = Number(head.split(' ', 2)[1])
    if (/^connection:[ \t]*close[ \t]*$/im.test(head)) this.isLast = true
    // The response follows.
    if (status < 200) this.begun--
    if (status < 200 || status === statusNoContent || status === statusNotModified) return 0
    // Without a length it ends with the connection.
    return findContentLength(head) ?? Infinity
  }
}
