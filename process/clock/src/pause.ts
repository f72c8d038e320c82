/// Resolves after a time on the runtime's clock.
export function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
