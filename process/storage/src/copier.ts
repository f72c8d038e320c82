import type { LedgerPeer } from '#connection/rpc'
import type { Ledger } from '#process/ledger'

/// How far one peer's records have been copied.
export interface CopyMark {
  /// The peer's disk at the last whole pass.
  readonly diskId: string
  /// The peer's newest view at the start of the last whole pass.
  readonly viewVersion: number
}

const callTimeoutMs = 1500
const digestKeys = 2000
const fetchKeys = 200

/// Copies to this instance what one peer holds and it does not.
export class PeerCopier {
  private cursor = 0
  private epoch = ''

  constructor (private readonly peer: LedgerPeer, private readonly ledger: Ledger) {}

  /// Makes one whole pass over what is new at the peer. Returns the mark and the
  /// number of records that were copied; throws `PeerError`.
  async pass (viewVersion: number): Promise<{ mark: CopyMark, copied: number }> {
    let copied = 0
    let seenVersion = -1
    while (true) {
      const request = { viewVersion, cursor: this.cursor, limit: digestKeys, epoch: this.epoch }
      const digest = await this.peer.digest(request, callTimeoutMs)
      const { diskId, viewVersion: peersVersion } = digest.standing!
      if (seenVersion < 0) seenVersion = peersVersion
      copied += await this.copy(digest.keys)
      // A peer that started anew begins at its first record, whatever cursor it is asked for.
      this.epoch = digest.epoch
      this.cursor = digest.nextCursor
      if (digest.atEnd) return { mark: { diskId, viewVersion: seenVersion }, copied }
    }
  }

  private async copy (keys: readonly string[]): Promise<number> {
    let missing = keys.filter(key => this.ledger.records.get(key) === undefined)
    let copied = 0
    while (missing.length > 0) {
      const asked = missing.slice(0, fetchKeys)
      const { records } = await this.peer.fetch({ keys: asked }, callTimeoutMs)
      // A key that expired at the peer meanwhile isn't owed any more.
      if (records.length === 0) return copied
      await this.ledger.persist(records)
      copied += records.length
      const wasPartial = records.length < asked.length
      const left = asked.filter(key => this.ledger.records.get(key) === undefined)
      missing = missing.slice(fetchKeys)
      if (wasPartial && left.length < asked.length) missing = left.concat(missing)
    }
    return copied
  }
}
