import { readFileSync } from 'node:fs'
import { createRequire, wrap } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'
import { getProcessSignals } from '#process/signals'
import { readCodeCache, writeCodeCache } from './codecache.js'
import type { CodeCache } from './codecache.js'
import { setLaunchReport } from './launchreport.js'

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
  const bundle = readFileSync(bundleFile)
  const isCreatingCache = process.argv.includes(createCacheFlag)
  const script = compile(bundleFile, bundle, isCreatingCache ? null : readCodeCache(cacheFile, bundle))
  const module = { exports: {} }
  const run = script.runInThisContext() as ModuleWrapper
  run(module.exports, createRequire(bundleFile), module, bundleFile, dirname(bundleFile))
  if (isCreatingCache) {
    setTimeout(() => writeCodeCache(cacheFile, bundle, script.createCachedData()), cacheCreationDelayMs)
  }
}

function compile (bundleFile: string, bundle: Buffer, cache: CodeCache | null): Script {
  const cachedData = cache !== null && 'data' in cache ? { cachedData: cache.data } : {}
  const script = new Script(wrap(bundle.toString('utf8')), { filename: bundleFile, ...cachedData })
  if (cache !== null) setLaunchReport({ codeCacheProblem: findProblem(cache, script) })
  return script
}

function findProblem (cache: CodeCache, script: Script): string | null {
  if ('problem' in cache) return cache.problem
  return script.cachedDataRejected === true ? 'V8 rejected it' : null
}

launch(join(__dirname, 'daemon.cjs'))
