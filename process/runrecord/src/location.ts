import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Role } from '#process/settings'
import type { Settings } from '#process/settings'

const fileName = 'run-record'

/// The settings that name a run record.
export interface RunRecordSettings {
  readonly node: Pick<Settings['node'], 'name' | 'role'>
  readonly listen: Pick<Settings['listen'], 'peer_port'>
  readonly storage?: { readonly data_dir: string } | undefined
}

/// Where a process keeps its run record: a storage instance with its data, any other role in the folder for temporary
/// files.
export function locateRunRecord ({ node, listen, storage }: RunRecordSettings): string {
  if (node.role === Role.storage && storage !== undefined) return join(storage.data_dir, fileName)
  const name = encodeURIComponent(node.name)
  return join(tmpdir(), `chicorynotch-${node.role}-${name}-${listen.peer_port}-${fileName}`)
}
