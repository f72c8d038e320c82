import type { LedgerRecord } from '#connection/rpc'

/// Allows for clocks that differ between instances. Turns are gone on from for some of it, and their reservations have
/// reached all instances by the end of it.
const retentionMarginMs = 15_000

/// When a record expires that no other one needs. Wall-clock milliseconds.
export function getOwnExpiryMs ({ recordedAtMs, retentionMs }: LedgerRecord): number {
  return recordedAtMs + retentionMs + retentionMarginMs
}

/// Until when a settlement of no tokens is held for members that have the reservation and not the settlement yet.
export function getEmptySettlementExpiryMs (settlement: LedgerRecord): number {
  return getOwnExpiryMs(settlement) + settlement.retentionMs
}
