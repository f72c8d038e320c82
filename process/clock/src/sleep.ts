/// Resolves after a time on the runtime's clock.
export function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
