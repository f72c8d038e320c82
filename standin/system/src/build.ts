import { execFile } from 'node:child_process'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { build } from 'esbuild'
import type { BuildOptions } from 'esbuild'

const common: BuildOptions = {
  bundle: true, platform: 'node', target: 'node20', format: 'cjs', conditions: ['source'], logLevel: 'warning'
}

/// Builds the daemon into `folder` as `npm run bundle` does into `target/`, with its code cache. Returns the program
/// and arguments that start it.
export async function buildDaemon (folder: string): Promise<readonly string[]> {
  const launcher = join(folder, 'chicorynotchd.cjs')
  const minified = { ...common, minifyWhitespace: true, minifySyntax: true }
  await build({ ...minified, entryPoints: ['platform/src/main.ts'], outfile: join(folder, 'daemon.cjs') })
  await build({ ...common, entryPoints: ['process/launcher/src/launcher.ts'], outfile: launcher })
  await promisify(execFile)(process.execPath, [launcher, '--make-code-cache'])
  return [process.execPath, launcher]
}

/// Builds the program that runs a daemon's bundle on a machine whose disk can lose power. Returns the program and
/// arguments that start it.
export async function buildMachine (folder: string, bundle: string): Promise<readonly string[]> {
  const outfile = join(folder, 'machine.cjs')
  await build({ ...common, entryPoints: ['standin/machine/src/main.ts'], outfile })
  return [process.execPath, outfile, bundle]
}

/// Returns the program and arguments that start `command` with at most so many open descriptors.
export function limitDescriptors (command: readonly string[], count: number): readonly string[] {
  return ['/bin/sh', '-c', `ulimit -n ${count} && exec "$0" "$@"`, ...command]
}
