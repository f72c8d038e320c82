import type { StoredObject } from '#connection/store'
import { RouteTable } from '#version/configuration'
import type { Configuration } from '#version/configuration'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'

export interface ActiveConfigurationOptions {
  /// Throws if the object does not contain a valid configuration.
  readonly parse: (object: StoredObject) => Configuration
  /// Called after a configuration has come into force.
  readonly onApplied: (configuration: Configuration) => void
}

/// The configuration in force at this entry. A newer valid one replaces it as a whole; it never goes back.
export class ActiveConfiguration {
  private table: RouteTable | null = null
  private revision = 0

  constructor (private readonly options: ActiveConfigurationOptions, private readonly log: EventLog) {}

  /// Null before the first configuration.
  get routes (): RouteTable | null {
    return this.table
  }

  /// 0 before the first configuration.
  get version (): number {
    return this.table?.configuration.version ?? 0
  }

  apply (object: StoredObject): void {
    if (object.revision <= this.revision) return
    const table = this.parse(object)
    if (table === null) return
    this.revision = object.revision
    this.table = table
    const { version, routes } = table.configuration
    this.log.event(Events.configurationApplied, { version, revision: object.revision, routes: routes.length })
    this.options.onApplied(table.configuration)
  }

  /// Returns null if the object contains no valid configuration, or an older one.
  private parse (object: StoredObject): RouteTable | null {
    try {
      const configuration = this.options.parse(object)
      return this.table !== null && configuration.version <= this.version ? null : new RouteTable(configuration)
    } catch (error) {
      this.log.event(Events.configurationRejected, { revision: object.revision, error: formatError(error) })
      return null
    }
  }
}
