import type { SystemNode } from './node.js'

const periodMs = 40

/// Gives a process only this share of a processor, by stopping it for the rest of each 40 ms. Returns a function that
/// ends this.
export function throttle (node: SystemNode, share: number): () => void {
  const { process } = node
  let resumeTimer: ReturnType<typeof setTimeout> | null = null
  const timer = setInterval(() => {
    process.kill('SIGSTOP')
    resumeTimer = setTimeout(() => process.kill('SIGCONT'), periodMs * (1 - share))
  }, periodMs)
  return () => {
    clearInterval(timer)
    if (resumeTimer !== null) clearTimeout(resumeTimer)
    process.kill('SIGCONT')
  }
}
