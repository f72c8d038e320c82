/// Kinds of records. The numbers are used on the wire and on disk.
export const RecordKind = { reservation: 1, settlement: 2, turn: 3 } as const
