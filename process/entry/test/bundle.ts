import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'esbuild'

/// The daemon as one file, in a folder of its own.
export interface Bundle {
  readonly file: string
  readonly remove: () => Promise<void>
}

/// Builds the daemon as the deploy file does, without a code cache.
export async function bundleDaemon (): Promise<Bundle> {
  const folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  const outfile = join(folder, 'daemon.cjs')
  await build({
    entryPoints: ['platform/src/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    conditions: ['source'],
    outfile
  })
  return { file: outfile, remove: () => rm(folder, { recursive: true, force: true }) }
}
