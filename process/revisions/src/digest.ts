import type { DatagramFields } from '#connection/datagram'
import { encodeSpeedNews, parseSpeedNews } from '#process/speed'
import type { SpeedNews } from '#process/speed'

/// What an entry tells others about the kinds of objects that it watches.
export interface RevisionDigest {
  readonly name: string
  /// The store's revision of the latest change that it knows, by kind.
  readonly revisions: Readonly<Record<string, number>>
  /// How long ago the store responded to any entry, as far as this one knows; null for never.
  readonly upAgeMs: number | null
  /// What the entry itself has observed of instances since it last told others; empty from an earlier version.
  readonly speeds: readonly SpeedNews[]
}

/// The type of datagrams that hold a digest.
export const revisionDigestType = 'revisions'

/// Returns null if the fields are not those of a digest.
export function parseRevisionDigest ({ name, revisions, upAgeMs, speeds }: DatagramFields): RevisionDigest | null {
  if (typeof name !== 'string' || typeof revisions !== 'object' || revisions === null) return null
  const valid = Object.entries(revisions).filter((entry): entry is [string, number] => isCount(entry[1]))
  return {
    name,
    revisions: Object.fromEntries(valid),
    upAgeMs: isCount(upAgeMs) ? upAgeMs : null,
    speeds: parseSpeedNews(speeds)
  }
}

/// Returns the fields of a datagram that holds the digest.
export function encodeRevisionDigest ({ speeds, ...digest }: RevisionDigest): DatagramFields {
  return speeds.length === 0 ? { ...digest } : { ...digest, speeds: encodeSpeedNews(speeds) }
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}
