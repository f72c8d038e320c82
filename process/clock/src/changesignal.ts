/// Wakes those that wait for a change of some state.
export class ChangeSignal {
  private readonly waiting = new Set<() => void>()

  notify (): void {
    for (const wake of [...this.waiting]) wake()
  }

  /// Resolves at the next change, or after `timeoutMs`.
  wait (timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      this.waiting.add(wake)
    })
  }
}
