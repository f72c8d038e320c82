import { isAddress } from '#connection/address'
import type { Member, View } from '#connection/rpc'
import { MemberState } from './view.js'

/// A stored view that is malformed.
export class ViewFormatError extends Error {
  override readonly name = 'ViewFormatError'
}

const memberStates: ReadonlySet<unknown> = new Set(Object.values(MemberState))

/// Parses the spec of the view's object in the platform's store. Throws `ViewFormatError`.
export function parseView (spec: unknown): View {
  const { version, members, leaveVersion } = (spec ?? {}) as Partial<Record<string, unknown>>
  if (!isCount(version) || !isCount(leaveVersion) || !Array.isArray(members)) throw new ViewFormatError('invalid view: version, leaveVersion or members is malformed')
  return { version, leaveVersion, members: members.map(parseMember) }
}

function parseMember (value: unknown): Member {
  const {
    name,
    diskId,
    address,
    zone,
    state,
    replacement,
    syncedView
  } = (value ?? {}) as Partial<Record<string, unknown>>
  const texts = [name, diskId, address, zone]
  if (!texts.every(text => typeof text === 'string') || !memberStates.has(state) || !isCount(syncedView)) {
    throw new ViewFormatError(`invalid member in the view: ${String(name)}`)
  }
  if (!isAddress(address as string)) throw new ViewFormatError(`invalid address of member ${String(name)} in the view`)
  return { name, diskId, address, zone, state, syncedView, replacement: replacement === true } as Member
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}
