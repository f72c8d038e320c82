import { readFileSync } from 'node:fs'

/// Which process a process id means. Null where the operating system doesn't tell.
export interface ProcessIdentity {
  readonly pid: number
  /// Changes with each start of the machine.
  readonly bootId: string | null
  /// When the process started, in ticks since the machine's start.
  readonly startTicks: string | null
}

const bootIdFile = '/proc/sys/kernel/random/boot_id'
/// Positions in /proc/PID/stat, counted from the first field after the command's name.
const stateField = 0
const startTicksField = 19
/// An ended process whose parent hasn't taken note of its end.
const zombieState = 'Z'

export function readOwnIdentity (): ProcessIdentity {
  const { pid } = process
  return { pid, bootId: readText(bootIdFile)?.trim() ?? null, startTicks: readStat(pid)[startTicksField] ?? null }
}

/// Whether this very process still runs, not another one to which its id was given. False where the operating system
/// doesn't tell.
export function isRunning ({ pid, startTicks }: ProcessIdentity): boolean {
  if (pid === process.pid || startTicks === null) return false
  const stat = readStat(pid)
  return stat[startTicksField] === startTicks && stat[stateField] !== zombieState
}

function readStat (pid: number): string[] {
  // The name of the command stands in parentheses and may itself contain any character.
  return readText(`/proc/${pid}/stat`)?.replace(/^.*\) /s, '').split(' ') ?? []
}

function readText (path: string): string | null {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    return null
  }
}
