import { closeSync, constants, mkdirSync, openSync, readSync, renameSync, writeFile, writeSync } from 'node:fs'
import { dirname } from 'node:path'
import { describePreviousRun, RunState } from './previousrun.js'
import type { PreviousRun, RunRecordContents } from './previousrun.js'
import { readOwnIdentity } from './processidentity.js'

const heartbeatIntervalMs = 5000
const maxRecordBytes = 4096
const maxReasonLength = 500
const bytesPerMb = 1024 * 1024
/// Others may write to the folder for temporary files: a link there is not followed, and a pipe is not waited for.
const safeFlags = constants.O_NOFOLLOW | constants.O_NONBLOCK
const writeFlags = constants.O_WRONLY | constants.O_CREAT | constants.O_TRUNC | safeFlags
const privateMode = 0o600

/// A file that says in which state a process is and when it was last seen, so that the next start can tell how the
/// process ended if it couldn't say so itself. It is kept as well as it goes: it isn't synced, and errors are ignored.
export class RunRecord {
  /// How the run before this one ended.
  readonly previous: PreviousRun
  private contents: RunRecordContents
  private readonly timer: ReturnType<typeof setInterval>
  private isSendingHeartbeat = false
  /// For ends that nobody has announced.
  private readonly handleExit = (exitCode: number): void => this.end('no reason given', exitCode)

  private constructor (private readonly path: string, memoryLimitMb: number | null) {
    const identity = readOwnIdentity()
    const nowMs = Date.now()
    this.previous = describePreviousRun(readRecord(path), identity, nowMs)
    this.contents = {
      ...identity,
      state: RunState.starting,
      startedAtMs: nowMs,
      lastSeenAtMs: nowMs,
      residentMb: 0,
      memoryLimitMb,
      reason: null,
      exitCode: null,
      unplannedEnds: this.previous.unplannedEnds
    }
    this.timer = setInterval(() => this.sendHeartbeat(), heartbeatIntervalMs)
    this.timer.unref()
  }

  /// Reads the record of the previous run and replaces it by one of this process, in the state starting. Never throws.
  static open (path: string, memoryLimitMb: number | null): RunRecord {
    const record = new RunRecord(path, memoryLimitMb)
    ignoreErrors(() => mkdirSync(dirname(path), { recursive: true }))
    record.update({})
    process.once('exit', record.handleExit)
    return record
  }

  setReady (): void {
    if (this.contents.state === RunState.starting) this.update({ state: RunState.ready })
  }

  /// `reason` is what asks the process to stop, for instance a signal.
  setStopping (reason: string): void {
    if (!this.hasEnded) this.update({ state: RunState.stopping, reason })
  }

  /// Records that the process ends now. The first reason stays.
  end (reason: string, exitCode: number): void {
    if (this.hasEnded) return
    clearInterval(this.timer)
    process.off('exit', this.handleExit)
    const wasAsked = this.contents.state === RunState.stopping && exitCode === 0
    this.update({
      state: wasAsked ? RunState.stopped : RunState.exited,
      reason: reason.slice(0, maxReasonLength),
      exitCode
    })
  }

  private get hasEnded (): boolean {
    return this.contents.state === RunState.stopped || this.contents.state === RunState.exited
  }

  /// Writes a change of the state at once: the process may be killed next.
  private update (changes: Partial<RunRecordContents>): void {
    const newPath = `${this.path}.new`
    const text = this.change(changes)
    ignoreErrors(() => {
      writeText(newPath, text)
      renameSync(newPath, this.path)
    })
  }

  /// Writes when the process was last seen, without holding up the event loop. Has no effect if the state has changed
  /// meanwhile.
  private sendHeartbeat (): void {
    if (this.isSendingHeartbeat) return
    this.isSendingHeartbeat = true
    const newPath = `${this.path}.heartbeat`
    const text = this.change({})
    const { contents } = this
    writeFile(newPath, text, { flag: writeFlags as unknown as string, mode: privateMode }, error => {
      this.isSendingHeartbeat = false
      if (error === null && this.contents === contents) ignoreErrors(() => renameSync(newPath, this.path))
    })
  }

  private change (changes: Partial<RunRecordContents>): string {
    this.contents = { ...this.contents, ...changes, lastSeenAtMs: Date.now() }
    // This reads a file, too.
    ignoreErrors(() => { this.contents.residentMb = Math.round(process.memoryUsage.rss() / bytesPerMb) })
    return JSON.stringify(this.contents)
  }
}

/// Returns null if there is no record, and text that is no record if it can't be read.
function readRecord (path: string): string | null {
  try {
    const file = openSync(path, constants.O_RDONLY | safeFlags)
    try {
      const bytes = Buffer.alloc(maxRecordBytes)
      return bytes.toString('utf8', 0, readSync(file, bytes))
    } finally {
      closeSync(file)
    }
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'ENOENT' ? null : ''
  }
}

function writeText (path: string, text: string): void {
  const file = openSync(path, writeFlags, privateMode)
  try {
    writeSync(file, text)
  } finally {
    closeSync(file)
  }
}

function ignoreErrors (action: () => void): void {
  try {
    action()
  } catch {
    // A process starts, runs and stops without its record, too.
  }
}
