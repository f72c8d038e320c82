import { readFileSync } from 'node:fs'
import type { SystemNode } from '#standin/system'
import type { Supervisor } from './supervisor.js'

/// By the role of the process.
export type MemoryLimits = Readonly<Record<SystemNode['role'], number>>

const intervalMs = 100
const kbPerMb = 1024

/// Ends each process whose resident memory exceeds the limit of its machine, as the platform does.
export class MemoryWatch {
  private readonly timer: ReturnType<typeof setInterval>

  constructor (nodes: readonly SystemNode[], limitsMb: MemoryLimits, supervisor: Supervisor) {
    this.timer = setInterval(() => {
      for (const node of nodes) {
        const residentMb = readResidentMb(node)
        if (residentMb > limitsMb[node.role]) supervisor.killBeyondMemory(node, residentMb)
      }
    }, intervalMs)
  }

  stop (): void {
    clearInterval(this.timer)
  }
}

/// 0 for a process that has ended.
function readResidentMb ({ process }: SystemNode): number {
  try {
    const status = readFileSync(`/proc/${process.pid}/status`, 'utf8')
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / kbPerMb
  } catch {
    return 0
  }
}
