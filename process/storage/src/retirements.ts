import type { View } from '#connection/rpc'
import { ObjectKind } from '#connection/store'
import type { ObjectStore, StoredObject, WatchHandler } from '#connection/store'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { parseView, viewObjectName } from '#process/membership'

/// The states of a retirement, as they are written to the platform's store.
const RetirementState = { running: 'running', completed: 'completed' } as const

/// The storage instances that the operator wants to be emptied, and the reports about them in the platform's store.
export class Retirements implements WatchHandler {
  private readonly statusByName = new Map<string, unknown>()
  private hasListing = false

  /// `onListed` is called after each listing.
  constructor (
    private readonly store: ObjectStore,
    private readonly onListed: () => void,
    private readonly log: EventLog
  ) {}

  /// Whether a listing has been received.
  get isListed (): boolean {
    return this.hasListing
  }

  /// Must be called when they are not followed any more.
  clear (): void {
    this.hasListing = false
    this.statusByName.clear()
  }

  has (name: string): boolean {
    return this.statusByName.has(name)
  }

  get names (): Iterable<string> {
    return this.statusByName.keys()
  }

  onObject (name: string, object: StoredObject | null): void {
    if (object === null) this.statusByName.delete(name)
    else this.statusByName.set(name, object.status)
  }

  onMissing (name: string): void {
    this.statusByName.delete(name)
  }

  onUpdated (isListing: boolean): void {
    if (!isListing) return
    this.hasListing = true
    this.onListed()
  }

  /// Writes the state of each retirement, unless it is there already. Should be called by one member only.
  report (view: View): void {
    for (const [name, status] of this.statusByName) {
      const state = isRemoved(name, view) ? RetirementState.completed : RetirementState.running
      const reportedState = (status as { state?: unknown } | null)?.state
      if (reportedState === state || reportedState === RetirementState.completed) continue
      this.statusByName.set(name, { state })
      this.write(name, state, view.version).catch((error: unknown) => {
        this.statusByName.set(name, status)
        this.log.event(Events.storeWriteFailed, { kind: ObjectKind.retirements, name, error: formatError(error) })
      })
    }
  }

  /// Once a retirement is completed the machine is removed with its disk, so the view must be the one in the store: an
  /// older one may lack a member that has joined since.
  private async write (name: string, state: string, viewVersion: number): Promise<void> {
    if (state === RetirementState.completed) {
      const object = await this.store.get(ObjectKind.storageViews, viewObjectName)
      const isConfirmed = object !== null && isRemoved(name, parseView(object.spec))
      if (!isConfirmed) throw new Error('the view in the store still lists it')
    }
    this.log.event(Events.retirement, { name, state, viewVersion })
    await this.store.updateStatus(ObjectKind.retirements, name, { state })
  }
}

function isRemoved (name: string, { version, members }: View): boolean {
  return version > 0 && !members.some(member => member.name === name)
}
