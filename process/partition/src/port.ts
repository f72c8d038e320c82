import type { ProgramState } from '#connection/wire'

/// A partition as its new owner takes it over, with every committed record
/// applied. `graceful` is true if the previous owner gave it away itself.
export interface AdoptedPartition {
  readonly number: number
  readonly epoch: number
  readonly programs: readonly ProgramState[]
  readonly graceful: boolean
}

/// What the partition manager drives: the holder of the programs' state.
export interface PartitionHost {
  /// Starts to serve a partition. From here on its calls are accepted.
  adopt (partition: AdoptedPartition): void
  /// Stops accepting calls, waits for those in flight, and commits what is
  /// left to commit. After it resolves the partition may be given away.
  quiesce (partition: number): Promise<void>
  /// Forgets a partition at once, without writing anything.
  drop (partition: number): void
  /// The partition's programs as committed so far, for a checkpoint.
  checkpoint (partition: number): readonly ProgramState[]
}

/// Who serves a partition.
export interface PartitionOwner {
  readonly partition: number
  readonly epoch: number
  readonly entryId: string
  readonly incarnation: string
  readonly address: string
}

/// Where calls for a partition are sent.
export interface PartitionRoutes {
  /// The owner as last heard, undefined while there is none.
  ownerOf (partition: number): PartitionOwner | undefined
  /// Tells that the owner did not answer or is no longer the owner, and
  /// resolves once a route worth trying is known or the time is over.
  refresh (partition: number, stale: PartitionOwner | undefined, timeoutMs: number): Promise<PartitionOwner | undefined>
}
