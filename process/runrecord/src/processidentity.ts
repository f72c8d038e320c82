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
/// Position in /proc/PID/stat, counted from the first field after the command's name.
const startTicksField = 19

export function readOwnIdentity (): ProcessIdentity {
  const { pid } = process
  return { pid, bootId: readText(bootIdFile)?.trim() ?? null, startTicks: readStartTicks(pid) }
}

/// Whether this very process still runs, not another one to which its id was given.
export function isRunning ({ pid, startTicks }: ProcessIdentity): boolean {
  if (pid === process.pid || !hasProcess(pid)) return false
  return startTicks === readStartTicks(pid)
}

function hasProcess (pid: number): boolean {
  try {
    return process.kill(pid, 0)
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EPERM'
  }
}

function readStartTicks (pid: number): string | null {
  // The name of the command stands in parentheses and may itself contain any character.
  const fields = readText(`/proc/${pid}/stat`)?.replace(/^.*\) /s, '').split(' ')
  return fields?.[startTicksField] ?? null
}

function readText (path: string): string | null {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    return null
  }
}
