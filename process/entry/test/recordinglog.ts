import type { EventFields, EventKind, EventLog } from '#process/log'

/// An event that was logged.
export interface RecordedEvent {
  readonly name: string
  readonly fields: EventFields
}

/// Keeps events for tests.
export class RecordingLog implements EventLog {
  readonly events: RecordedEvent[] = []
  private readonly listeners = new Set<() => void>()

  event ({ name }: EventKind, fields: EventFields = {}): void {
    this.events.push({ name, fields })
    for (const listener of this.listeners) listener()
  }

  /// Names of the events of a call.
  namesOf (callId: string): string[] {
    return this.events.filter(({ fields }) => fields.callId === callId).map(({ name }) => name)
  }

  /// Resolves to the first event of the call with one of the names.
  waitFor (callId: string, names: readonly string[]): Promise<RecordedEvent> {
    return new Promise(resolve => {
      const find = (): void => {
        const event = this.events.find(({ name, fields }) => fields.callId === callId && names.includes(name))
        if (event === undefined) return
        this.listeners.delete(find)
        resolve(event)
      }
      this.listeners.add(find)
      find()
    })
  }
}
