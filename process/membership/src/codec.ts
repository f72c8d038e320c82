import type { Member, View } from '#connection/rpc'
import { MemberState } from './view.js'

/// A stored membership that can't be read.
export class ViewFormatError extends Error {
  override readonly name = 'ViewFormatError'
}

const states: ReadonlySet<unknown> = new Set(Object.values(MemberState))

/// Reads a membership from the platform's store.
export function parseView (spec: unknown): View {
  const { version, members, leaveVersion } = (spec ?? {}) as Partial<Record<string, unknown>>
  if (!isCount(version) || !isCount(leaveVersion) || !Array.isArray(members)) throw new ViewFormatError('not a membership')
  return { version, leaveVersion, members: members.map(readMember) }
}

function readMember (value: unknown): Member {
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
  if (!texts.every(text => typeof text === 'string') || !states.has(state) || !isCount(syncedView)) {
    throw new ViewFormatError(`not a member: ${JSON.stringify(value)}`)
  }
  return { name, diskId, address, zone, state, syncedView, replacement: replacement === true } as Member
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}
