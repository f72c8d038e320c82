const trueNow = Date.now
let isReplaced = false
let aheadMs = 0

/// Sets the time of day ahead, in this process.
export function setClockAhead (ms: number): void {
  aheadMs = ms
  if (isReplaced || ms === 0) return
  isReplaced = true
  Date.now = () => trueNow() + aheadMs
}
