import type { Workspace } from './configuration.js'

/// The workspaces of a configuration, by name and by key.
export class Workspaces {
  private readonly byName = new Map<string, Workspace>()
  private readonly byKey = new Map<string, Workspace>()

  /// `listed` is kept as it is. Of two workspaces with the same key, the first holds it.
  constructor (readonly listed: readonly Workspace[]) {
    for (const workspace of listed) {
      this.byName.set(workspace.name, workspace)
      for (const key of workspace.keys) if (!this.byKey.has(key)) this.byKey.set(key, workspace)
    }
  }

  get (name: string): Workspace | null {
    return this.byName.get(name) ?? null
  }

  findByKey (key: string): Workspace | null {
    return this.byKey.get(key) ?? null
  }

  /// All workspaces, in the order of the configuration.
  get all (): Iterable<Workspace> {
    return this.byName.values()
  }
}
