/// What a record says. The numbers are the wire's and the disk's.
export const RecordKind = { reservation: 1, settlement: 2, turn: 3 } as const
