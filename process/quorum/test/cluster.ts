import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { LedgerConnection, LedgerServer } from '#connection/rpc'
import type { LedgerHandler, Member } from '#connection/rpc'
import { Disk, Ledger } from '#process/ledger'
import { noopLog } from '#process/log'
import type { EventFields, EventKind } from '#process/log'
import { LedgerQuorum } from '#process/quorum'

/// Three storage instances, each with a disk and a server of its own, and an entry's client of them.
export class Cluster {
  readonly ledgers: Ledger[] = []
  readonly members: Member[] = []
  /// What the client has logged.
  readonly lines: [string, EventFields | undefined][] = []
  readonly quorum: LedgerQuorum
  private readonly servers: LedgerServer[] = []

  private constructor (private readonly folder: string) {
    const log = { event: ({ name }: EventKind, fields?: EventFields) => { this.lines.push([name, fields]) } }
    const connect = (address: string): LedgerConnection => new LedgerConnection(address)
    this.quorum = new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect, onStaleView: () => {} }, log)
  }

  /// `handle` returns what serves the requests to an instance, its ledger by default.
  static async start (handle: (ledger: Ledger) => LedgerHandler = ledger => ledger): Promise<Cluster> {
    const cluster = new Cluster(await mkdtemp(join(tmpdir(), 'ledger-')))
    for (const name of ['a', 'b', 'c']) await cluster.add(name, handle)
    cluster.quorum.adoptView({ version: 3, members: cluster.members, leaveVersion: 0 }, 'test')
    return cluster
  }

  private async add (name: string, handle: (ledger: Ledger) => LedgerHandler): Promise<void> {
    const { disk, contents } = Disk.open(join(this.folder, name), noopLog)
    const ledger = new Ledger(disk, contents)
    const server = new LedgerServer(handle(ledger))
    const address = `127.0.0.1:${await server.listen('127.0.0.1:0')}`
    this.members.push({ name, diskId: disk.diskId, address, zone: name, state: 'serving', replacement: false, syncedView: 0 })
    this.ledgers.push(ledger)
    this.servers.push(server)
  }

  async close (): Promise<void> {
    this.quorum.close()
    for (const server of this.servers) server.close()
    await rm(this.folder, { recursive: true })
  }
}
