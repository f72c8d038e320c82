import type { StandinSystem } from '#standin/system'
import { exitAtSignals } from './signals.js'

/// Runs `main`, stops the system's processes even if it fails, and exits with the code that it returned, 1 on an error,
/// or at a signal.
export function runAndExit (system: StandinSystem, main: () => Promise<number>): void {
  exitAtSignals()
  main().catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`)
    return 1
  }).then(async code => {
    await system.stop()
    process.exit(code)
  })
}
