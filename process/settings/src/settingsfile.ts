import { readFileSync } from 'node:fs'
import { Events, errorMessage } from '#process/log'
import type { EventLog } from '#process/log'
import { SignalUse } from '#process/signals'
import type { ProcessSignals } from '#process/signals'
import { compareSettings } from './reload.js'
import { parseSettings } from './settings.js'
import type { Settings } from './settings.js'

/// What made the process read its settings file again.
export const ReloadTrigger = { start: 'start', signal: 'SIGHUP', poll: 'poll' } as const

export type ReloadTrigger = typeof ReloadTrigger[keyof typeof ReloadTrigger]

const pollIntervalMs = 1000

/// The settings file of a running process. A change takes effect as a whole or, if the file is invalid or a changed key
/// needs a restart, not at all; either is logged once.
export class SettingsFile {
  private active: Settings
  /// The contents that were last applied or rejected; null if the file could not be read.
  private handledText: string | null
  /// The contents at the last poll.
  private polledText: string | null

  /// Throws `SettingsError` if the contents are invalid, or the error of the file system.
  constructor (private readonly path: string, text = readFileSync(path, 'utf8')) {
    this.active = parseSettings(path, text)
    this.handledText = this.polledText = text
  }

  /// The settings in force.
  get settings (): Settings {
    return this.active
  }

  /// Calls `onChange` when changed settings take effect, with SIGHUP or without, also with a SIGHUP that was received
  /// before.
  watch (onChange: (settings: Settings) => void, log: EventLog, signals: ProcessSignals): void {
    signals.listen(SignalUse.reload, () => this.handle(this.read(), ReloadTrigger.signal, onChange, log))
    setInterval(() => this.poll(onChange, log), pollIntervalMs).unref()
  }

  /// Handles contents that have stayed the same since the last poll, since the file may be being written.
  private poll (onChange: (settings: Settings) => void, log: EventLog): void {
    const text = this.read()
    const isStable = text === this.polledText
    this.polledText = text
    if (isStable && text !== this.handledText) this.handle(text, ReloadTrigger.poll, onChange, log)
  }

  private read (): string | null {
    try {
      return readFileSync(this.path, 'utf8')
    } catch {
      return null
    }
  }

  private handle (
    text: string | null, trigger: ReloadTrigger, onChange: (settings: Settings) => void, log: EventLog
  ): void {
    const file = this.path
    this.handledText = text
    if (text === null) {
      log.event(Events.settingsRejected, { file, trigger, error: 'the file cannot be read' })
      return
    }
    try {
      this.apply(parseSettings(file, text), trigger, onChange, log)
    } catch (error) {
      log.event(Events.settingsRejected, { file, trigger, error: errorMessage(error) })
    }
  }

  private apply (
    settings: Settings, trigger: ReloadTrigger, onChange: (settings: Settings) => void, log: EventLog
  ): void {
    const { changed, needRestart } = compareSettings(this.active, settings)
    if (needRestart.length > 0) {
      log.event(Events.settingsPending, { file: this.path, trigger, changed, needRestart })
      return
    }
    this.active = settings
    if (changed.length > 0) onChange(settings)
    log.event(Events.settingsReloaded, { file: this.path, trigger, changed })
  }
}
