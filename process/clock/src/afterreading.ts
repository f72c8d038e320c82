/// Calls back when the event loop has read what had arrived on all connections. A timer that is due after a stall fires
/// before that, and one immediate isn't enough: timers and immediates may run before the loop next reads.
export function callAfterReading (callback: () => void): void {
  setImmediate(() => setImmediate(callback))
}
