import type { Configuration } from './schema.js'

/// The configuration that is in force in this process. `current` is undefined
/// until a first version was seen; it never goes back to a lower version.
export interface ConfigurationView {
  readonly current: Configuration | undefined
  /// Calls the listener after each change until the returned function is called.
  onChange (listener: (configuration: Configuration) => void): () => void
}
