import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire, wrap } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'
import { getProcessSignals } from '#process/signals'

// Before the bundle is read: a signal must not end the process while it starts.
getProcessSignals()

/// The bundle, compiled inside Node's module wrapper.
type ModuleWrapper =
  (exports: object, require: NodeJS.Require, module: object, filename: string, folder: string) => void

/// Passed by the build to create the code cache.
const createCacheFlag = '--make-code-cache'
const cacheCreationDelayMs = 100

/// Runs the daemon's bundle with the V8 code cache that the build stored next to it, which halves the CPU time of a
/// restart after a kill. Without a usable cache the bundle is compiled as usual.
export function launch (bundleFile: string): void {
  const cacheFile = `${bundleFile}.cache`
  const isCreatingCache = process.argv.includes(createCacheFlag)
  const cachedData = isCreatingCache ? undefined : readCache(cacheFile)
  const script = new Script(wrap(readFileSync(bundleFile, 'utf8')), { filename: bundleFile, ...cachedData })
  const module = { exports: {} }
  const run = script.runInThisContext() as ModuleWrapper
  run(module.exports, createRequire(bundleFile), module, bundleFile, dirname(bundleFile))
  if (isCreatingCache) setTimeout(() => writeFileSync(cacheFile, script.createCachedData()), cacheCreationDelayMs)
}

function readCache (cacheFile: string): { cachedData: Buffer } | undefined {
  try {
    return { cachedData: readFileSync(cacheFile) }
  } catch {
    // The cache is optional; the daemon logs the same events without it.
    return undefined
  }
}

launch(join(__dirname, 'daemon.cjs'))
