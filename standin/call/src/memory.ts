import { RequestBudget } from '#process/memory'

/// Returns memory for requests that may take so many bytes together, all of which count.
export function createRequestBudget (bytes: number): RequestBudget {
  return new RequestBudget({
    ordinaryBytes: bytes, totalBytes: bytes, longestBytes: 0, freeBytesPerMessage: 0, maxFreeBytes: Infinity
  })
}
