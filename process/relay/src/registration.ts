import { isAddress } from '#connection/address'
import { ObjectKind, StoreConflictError } from '#connection/store'
import type { ObjectStore, StoredObject } from '#connection/store'
import { sleep } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'

/// Where other entries reach this one.
export interface Registration {
  readonly name: string
  /// HOST:PORT, for relayed connections over TCP and load reports over UDP.
  readonly address: string
  readonly zone: string
  /// How many processors the entry has, or which share of one.
  readonly processors: number
}

const retryMs = 600

/// Writes the registration to the platform's store, unless it is there already. Retries until it is, or `signal` is
/// aborted. Never rejects.
export async function keepRegistered (
  registration: Registration, store: ObjectStore, signal: AbortSignal, log: EventLog
): Promise<void> {
  while (!signal.aborted) {
    try {
      await write(registration, store)
      return
    } catch (error) {
      if (!(error instanceof StoreConflictError)) {
        const { name } = registration
        log.event(Events.storeWriteFailed, { kind: ObjectKind.entries, name, error: formatError(error) })
      }
    }
    await sleep(retryMs * (0.5 + Math.random()))
  }
}

async function write (registration: Registration, store: ObjectStore): Promise<void> {
  const { name, ...spec } = registration
  const existing = await store.get(ObjectKind.entries, name)
  if (existing === null) await store.create(ObjectKind.entries, name, spec)
  else if (!isSameRegistration(parseRegistration(existing), registration)) {
    await store.update(ObjectKind.entries, name, spec, existing.revision)
  }
}

export function isSameRegistration (a: Registration | null, b: Registration | null): boolean {
  return a?.address === b?.address && a?.zone === b?.zone && a?.processors === b?.processors
}

/// Returns null if the object is not a registration.
export function parseRegistration ({ name, spec }: StoredObject): Registration | null {
  const { address, zone, processors } = (spec ?? {}) as Readonly<Record<string, unknown>>
  if (typeof address !== 'string' || !isAddress(address) || typeof zone !== 'string') return null
  if (typeof processors !== 'number' || !(processors > 0 && processors < Infinity)) return null
  return { name, address, zone, processors }
}
