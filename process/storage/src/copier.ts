import { PeerError } from '#connection/rpc'
import type { LedgerPeer } from '#connection/rpc'
import type { Ledger } from '#process/ledger'
import type { CompletedPass } from '#process/membership'

/// What the peer has told in a pass.
type CopiedPass = Pick<CompletedPass, 'diskId' | 'viewVersion'>

const requestTimeoutMs = 1500
const digestPageSize = 2000
const fetchBatchSize = 200

/// Copies the records of one peer that this instance lacks.
export class PeerCopier {
  private cursor = 0
  private epoch = ''

  constructor (private readonly peer: LedgerPeer, private readonly ledger: Ledger) {}

  /// Copies what has arrived at the peer since the previous pass. Resolves to the
  /// complete pass and the number of copied records. Rejects with `PeerError`, or
  /// with the error of a failed write to this instance's disk.
  async runPass (viewVersion: number): Promise<{ pass: CopiedPass, copied: number }> {
    let copied = 0
    let startViewVersion = -1
    while (true) {
      const request = { viewVersion, cursor: this.cursor, limit: digestPageSize, epoch: this.epoch }
      const digest = await this.peer.digest(request, requestTimeoutMs)
      const { diskId, viewVersion: peerViewVersion } = digest.standing!
      if (startViewVersion < 0) startViewVersion = peerViewVersion
      copied += await this.copyMissing(digest.keys, diskId)
      // A restarted peer has another epoch and replies from its first record, whatever the cursor.
      this.epoch = digest.epoch
      this.cursor = digest.nextCursor
      if (!digest.atEnd) continue
      // Records that needn't be copied may have arrived only now.
      await this.ledger.waitUntilSynced()
      return { pass: { diskId, viewVersion: startViewVersion }, copied }
    }
  }

  private async copyMissing (keys: readonly string[], diskId: string): Promise<number> {
    let missing = keys.filter(key => this.ledger.records.get(key) === undefined)
    let copied = 0
    while (missing.length > 0) {
      const batch = missing.slice(0, fetchBatchSize)
      const { records, standing } = await this.peer.fetch({ keys: batch }, requestTimeoutMs)
      // A new disk lacks what the one before has listed.
      if (standing!.diskId !== diskId) throw new PeerError(`another disk replied: ${standing!.diskId}`)
      await this.ledger.persist(records)
      copied += records.length
      const isPartial = records.length < batch.length
      const remaining = batch.filter(key => this.ledger.records.get(key) === undefined)
      missing = missing.slice(fetchBatchSize)
      // Without any record of a batch, all of it has expired at the peer in the meantime and need not be copied.
      if (isPartial && remaining.length < batch.length) missing = remaining.concat(missing)
    }
    return copied
  }
}
