import { RelayWord } from './relayword.js'
import { findHeadLength, isInterim } from './responsehead.js'
import type { ResponseTracker } from './responsetracker.js'

export interface PeerReaderHandlers {
  /// Whether nothing more is read from the connection.
  readonly isOver: () => boolean
  readonly onStopWord: () => void
  /// Called with each part of a response; `hasHead`: it begins with the head, which is complete.
  readonly onPart: (part: Buffer, hasHead: boolean) => void
}

/// The head of a response that is longer is passed back as it comes.
const maxHeadBytes = 64 * 1024

/// Cuts what another entry sends on a relayed connection into its words and the parts of responses, and counts these.
export class PeerReader {
  /// What has come of the head of a response: it may have to be changed, so it isn't passed on before the rest.
  private partialHead: Buffer | null = null

  constructor (private readonly responses: ResponseTracker, private readonly handlers: PeerReaderHandlers) {}

  add (bytes: Buffer): void {
    const { responses, handlers } = this
    let rest = this.partialHead === null ? bytes : Buffer.concat([this.partialHead, bytes])
    this.partialHead = null
    while (rest.length > 0 && !handlers.isOver()) {
      const isStopWord = rest[0] === RelayWord.stopping && responses.isBetweenMessages
      if (isStopWord) handlers.onStopWord()
      rest = rest.subarray(isStopWord ? 1 : this.addPart(rest))
    }
  }

  /// Returns the length of the part that the bytes begin with.
  private addPart (bytes: Buffer): number {
    const hasHead = this.responses.isBetweenMessages
    const headLength = hasHead ? findHeadLength(bytes) : 0
    if (headLength === null && bytes.length < maxHeadBytes) {
      this.partialHead = bytes
      return bytes.length
    }
    const length = hasHead && isInterim(bytes) ? headLength ?? bytes.length : bytes.length
    const part = bytes.subarray(0, this.responses.addMessage(bytes.subarray(0, length)))
    this.handlers.onPart(part, hasHead)
    return part.length
  }
}
