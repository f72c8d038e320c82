import { keepListening } from '#connection/listen'
import { LedgerConnection, LedgerServer } from '#connection/rpc'
import { Ledger, openDisk } from '#process/ledger'
import { Events, formatError } from '#process/log'
import { planStorageMemory } from '#process/memory'
import { MembershipController } from '#process/storage'
import type { DaemonRole, RoleContext } from './role.js'

/// The smaller of the two meanings, as a disk that is full ends the process.
const megabyteOfDisk = 1_000_000
const compactionIntervalMs = 2000

/// Keeps records on its disk.
export function createStorageRole (context: RoleContext): DaemonRole {
  return new StorageRole(context)
}

class StorageRole implements DaemonRole {
  private isStopping = false
  private readonly stopCallbacks: (() => void)[] = []

  constructor (private readonly context: RoleContext) {}

  async start (): Promise<void> {
    if (this.isStopping) return
    const { settings: { node, listen, storage }, platform, log, metrics, fail, stopping } = this.context
    const server = new LedgerServer()
    this.stopCallbacks.push(() => server.close())
    const address = `${node.ip}:${listen.peer_port}`
    // The process before this one writes to the disk as long as it has the port.
    await keepListening(server, { name: 'peers', address, log, signal: stopping })
    const { disk, contents } = await openDisk(storage!.data_dir, {
      log,
      isFirstStart: node.first_start,
      signal: stopping
    })
    this.stopCallbacks.push(() => disk.close())
    const limits = { diskBytes: storage!.disk_mb * megabyteOfDisk, ...planStorageMemory(node.memory_mb ?? null) }
    const ledger = new Ledger(disk, contents, log, limits)
    // After a failed write the contents of the disk are unknown; the next start reads them again.
    ledger.onFailure = fail
    server.serve(ledger)
    if (this.isStopping) return
    const membership = new MembershipController({
      name: node.name,
      address,
      zone: node.zone,
      toleratedLosses: node.tolerated_losses,
      isFirstStart: contents.isFromFirstStart,
      connect: peerAddress => new LedgerConnection(peerAddress)
    }, platform.store, ledger, log)
    membership.start()
    let isCompacting = false
    const compactionTimer = setInterval(() => {
      if (isCompacting) return
      isCompacting = true
      ledger.compact(Date.now())
        .catch((error: unknown) => log.event(Events.diskFailed, { error: formatError(error) }))
        .finally(() => { isCompacting = false })
    }, compactionIntervalMs)
    this.stopCallbacks.unshift(() => clearInterval(compactionTimer), () => membership.stop())
    metrics.addGauge('records', () => ledger.records.count)
    metrics.addGauge('disk_bytes', () => ledger.usage.diskBytes)
    metrics.addGauge('unwritten_bytes', () => ledger.usage.unwrittenBytes)
  }

  reload (): void {}

  async stop (): Promise<void> {
    this.isStopping = true
    for (const stop of this.stopCallbacks.splice(0)) stop()
  }
}
