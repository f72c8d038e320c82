/// Appends that share one write and one sync. `synced` resolves to the number of the segment that holds them.
export interface Batch {
  readonly frames: Buffer[]
  readonly synced: Promise<number>
  readonly resolve: (segment: number) => void
  readonly reject: (error: Error) => void
}

export function createBatch (): Batch {
  let resolve: Batch['resolve'] = () => {}
  let reject: Batch['reject'] = () => {}
  const synced = new Promise<number>((_resolve, _reject) => {
    resolve = _resolve
    reject = _reject
  })
  return { frames: [], synced, resolve, reject }
}
