const maxPrograms = 20_000

/// The ids of the programs whose calls this process started most recently.
export class RecentPrograms {
  /// In the order of their last call. The values have no meaning.
  private readonly ids = new Map<string, true>()

  has (id: string): boolean {
    return this.ids.has(id)
  }

  add (id: string): void {
    this.ids.delete(id)
    this.ids.set(id, true)
    if (this.ids.size > maxPrograms) this.ids.delete(this.ids.keys().next().value!)
  }
}
