import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire, wrap } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'

type Bundle = (exports: object, require: NodeJS.Require, module: object, filename: string, folder: string) => void

/// The argument with which the build has the code cache written.
const makeCacheArgument = '--make-code-cache'
const cacheDelayMs = 100

/// Runs the daemon's bundle with the compiled code that the build left beside
/// it: a start after a kill then costs half the processor time. Without a
/// usable cache the bundle is compiled as usual.
export function launch (bundleFile: string): void {
  const cacheFile = `${bundleFile}.cache`
  const isMaking = process.argv.includes(makeCacheArgument)
  const cachedData = isMaking ? undefined : readCache(cacheFile)
  const script = new Script(wrap(readFileSync(bundleFile, 'utf8')), { filename: bundleFile, ...cachedData })
  const module = { exports: {} }
  const run = script.runInThisContext() as Bundle
  run(module.exports, createRequire(bundleFile), module, bundleFile, dirname(bundleFile))
  if (isMaking) setTimeout(() => writeFileSync(cacheFile, script.createCachedData()), cacheDelayMs)
}

function readCache (cacheFile: string): { cachedData: Buffer } | undefined {
  try {
    return { cachedData: readFileSync(cacheFile) }
  } catch {
    // No cache was built; the daemon itself logs nothing different.
    return undefined
  }
}

launch(join(__dirname, 'daemon.cjs'))
