const tickMs = 100

const callbacks = new Set<() => void>()
let timer: NodeJS.Timeout | undefined

/// Calls `callback` at regular intervals, with one timer for all. Returns a function that ends this.
export function onTick (callback: () => void): () => void {
  callbacks.add(callback)
  timer ??= setInterval(() => { for (const call of [...callbacks]) call() }, tickMs)
  return () => {
    callbacks.delete(callback)
    if (callbacks.size > 0) return
    clearInterval(timer)
    timer = undefined
  }
}
