/// Where a batch was written.
export interface BatchPlace {
  readonly segment: number
  /// Of its first frame.
  readonly offset: number
}

/// Appends that share one write and one sync.
export interface Batch {
  readonly frames: Buffer[]
  /// Of the frames.
  bytes: number
  /// Null until it is written.
  place: BatchPlace | null
  readonly synced: Promise<BatchPlace>
  readonly resolve: (place: BatchPlace) => void
  readonly reject: (error: Error) => void
}

export function createBatch (): Batch {
  let resolve: Batch['resolve'] = () => {}
  let reject: Batch['reject'] = () => {}
  const synced = new Promise<BatchPlace>((_resolve, _reject) => {
    resolve = _resolve
    reject = _reject
  })
  return { frames: [], bytes: 0, place: null, synced, resolve, reject }
}
