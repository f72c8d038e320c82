/// Resolves after the given time on the runtime's timers.
export function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
