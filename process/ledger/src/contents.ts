import type { LedgerRecord } from '#connection/rpc'

/// Shared by all records without contents, since an instance holds many.
const noBytes = Buffer.alloc(0)

/// How long a record's input and output are together.
export function getContentBytes ({ input, output }: LedgerRecord): number {
  return input.length + output.length
}

/// Returns the record without its input and output.
export function withoutContents (record: LedgerRecord): LedgerRecord {
  return { ...record, input: noBytes, output: noBytes }
}
