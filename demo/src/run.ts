import type { StandinSystem } from '#standin/system'

/// Runs a whole demo, stops its processes however it ends, and exits with its code.
export function runAndExit (system: StandinSystem, main: () => Promise<number>): void {
  main().catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`)
    return 1
  }).then(async code => {
    await system.stop()
    process.exit(code)
  })
}
