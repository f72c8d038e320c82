import type { Member, View } from '#connection/rpc'
import { MemberState, computeNextView, computeQuorums, emptyView, hasCopied, needsMember } from '#process/membership'
import type { CompletedPass } from '#process/membership'

/// Enough rounds for each machine to finish each step of several changes of the view.
const maxRounds = 60

interface ModelDisk {
  readonly id: string
  readonly records: Set<number>
  /// The newest view that the machine has adopted. What it tells others of its view is on its disk.
  view: View
}

/// A storage machine, with what its process knows.
interface Machine {
  readonly name: string
  disk: ModelDisk
  isUp: boolean
  /// Removed for good.
  isGone: boolean
  /// Number of machines at that time; later ones are successors.
  machinesWhenGone: number
  view: View
  listedVersion: number
  stateVersion: number
  readonly passes: Map<string, CompletedPass>
}

interface PendingAppend { readonly record: number, readonly acks: Set<string> }
interface PendingRead { readonly record: number, readonly absent: Set<string>, version: number }

/// An entry, which may know an older view.
interface Entry {
  view: View
  append: PendingAppend | null
  read: PendingRead | null
}

/// What breaks an invariant: an acknowledged record that is denied or lost, or a view that no change leads on from.
export class InvariantError extends Error {
  override readonly name = 'InvariantError'
}

/// Storage machines and entries around the real rules of the view. Time passes only by the calls: a process that is not
/// called is slow, paused or cut off. No more disks are lost at once than are tolerated.
export class StorageModel {
  readonly machines: Machine[] = []
  readonly entries: Entry[] = []
  view: View = emptyView
  private readonly retired = new Set<string>()
  private readonly committed = new Set<number>()
  /// Machines that count as lost until the next `settle`; a removed one until it has a successor by then.
  private readonly lost = new Set<Machine>()
  /// The machines and entries that a split separates from the rest. All reach the platform's store.
  private readonly separated = new Set<Machine | Entry>()
  private recordCount = 0
  private diskCount = 0

  constructor (size: number, private readonly toleratedLosses: number, entryCount: number) {
    for (let i = 0; i < size; i++) this.add()
    for (const machine of this.machines) {
      this.adopt(machine)
      this.change(machine)
    }
    for (const machine of this.machines) this.adopt(machine)
    for (let i = 0; i < entryCount; i++) this.entries.push({ view: this.view, append: null, read: null })
  }

  add (): void {
    const name = `m${this.machines.length}`
    const knowledge = { view: emptyView, listedVersion: 0, stateVersion: 0, passes: new Map<string, CompletedPass>() }
    this.machines.push({ name, disk: this.createDisk(), isUp: true, isGone: false, machinesWhenGone: 0, ...knowledge })
  }

  stop (machine: Machine): void {
    machine.isUp = false
  }

  start (machine: Machine): void {
    this.startWithoutStore(machine)
    this.adopt(machine)
  }

  /// The machine starts and can't read the view in the platform's store yet.
  startWithoutStore (machine: Machine): void {
    if (machine.isUp || machine.isGone) return
    const { view } = machine.disk
    const listedVersion = findDisk(view, machine.disk) === undefined ? 0 : view.version
    Object.assign(machine, { isUp: true, view, listedVersion, stateVersion: listedVersion })
    machine.passes.clear()
  }

  loseDisk (machine: Machine): void {
    if (!this.countLoss(machine)) return
    this.stop(machine)
    machine.disk = this.createDisk()
    this.start(machine)
  }

  /// Removes a machine for good: as a loss, or after its retirement has been completed.
  remove (machine: Machine): void {
    const isEmptied = this.retired.has(machine.name) && !this.isMember(machine)
    if (machine.isGone || (!isEmptied && !this.countLoss(machine))) return
    this.stop(machine)
    Object.assign(machine, { isGone: true, machinesWhenGone: this.machines.length })
  }

  /// Separates these machines and entries from the rest until `heal`, for longer than any absence is taken for short.
  split (...separated: readonly (Machine | Entry)[]): void {
    this.heal()
    for (const one of separated) this.separated.add(one)
  }

  heal (): void {
    this.separated.clear()
  }

  retire (machine: Machine): void {
    this.retired.add(machine.name)
  }

  /// The machine reads the view in the platform's store.
  adopt (machine: Machine): void {
    if (!machine.isUp) return
    const previous = findDisk(machine.view, machine.disk)
    if (previous === undefined) machine.listedVersion = this.view.version
    if (previous?.state !== findDisk(this.view, machine.disk)?.state) machine.stateVersion = this.view.version
    machine.view = machine.disk.view = this.view
  }

  /// The machine copies all that a peer holds.
  copy (machine: Machine, peer: Machine): void {
    if (!machine.isUp || !peer.isUp || machine === peer || this.isCut(machine, peer)) return
    for (const record of peer.disk.records) machine.disk.records.add(record)
    const member = findDisk(machine.view, peer.disk)
    const wasComplete = member !== undefined && hasCopied(member)
    machine.passes.set(peer.disk.id, { diskId: peer.disk.id, viewVersion: peer.disk.view.version, wasComplete })
  }

  /// The machine decides on a change of the view and writes it under a condition. Returns whether the view has changed.
  change (machine: Machine, isLong = false): boolean {
    if (!machine.isUp) return false
    const next = this.computeNext(machine, isLong)
    if (next === machine.view) return false
    const isConflict = machine.view.version !== this.view.version
    if (!isConflict) this.view = next
    this.adopt(machine)
    return !isConflict
  }

  /// The entry sends a record, a new one if it has none under way.
  send (entry: Entry, machine: Machine): void {
    if (!this.reaches(entry, machine)) return
    entry.append ??= { record: ++this.recordCount, acks: new Set() }
    const { record, acks } = entry.append
    machine.disk.records.add(record)
    acks.add(machine.disk.id)
    this.adoptReply(entry, machine)
    const { appendVoters, appendQuorum } = computeQuorums(entry.view, this.toleratedLosses)
    if (countVoters(acks, appendVoters) < appendQuorum) return
    this.committed.add(record)
    entry.append = null
  }

  giveUp (entry: Entry): void {
    Object.assign(entry, { append: null, read: null })
  }

  /// The entry asks for a committed record. Throws `InvariantError` if it would deny it.
  ask (entry: Entry, machine: Machine, choice: number): void {
    if (this.committed.size === 0 || !this.reaches(entry, machine)) return
    const latest = [...this.committed]
    entry.read ??= { record: latest.at(-1 - choice % latest.length)!, absent: new Set(), version: entry.view.version }
    const { record, absent, version } = entry.read
    this.adoptReply(entry, machine)
    // A new view begins the query anew.
    if (machine.disk.records.has(record) || entry.view.version !== version) {
      entry.read = null
      return
    }
    absent.add(machine.disk.id)
    if (!this.isRuledOut(entry.view, absent)) return
    throw new InvariantError(`record ${record} is denied by an entry on view ${entry.view.version}`)
  }

  /// Throws `InvariantError` if the current view would deny a record, or no disk of a member holds it any more.
  checkRecords (): void {
    const members = this.machines.filter(machine => !machine.isGone && this.isMember(machine))
    for (const record of this.committed) {
      const absent = members.filter(({ disk }) => !disk.records.has(record)).map(({ disk }) => disk.id)
      if (this.isRuledOut(this.view, new Set(absent))) throw new InvariantError(`record ${record} is denied in view ${this.view.version}`)
      if (absent.length === members.length) throw new InvariantError(`record ${record} is lost`)
    }
  }

  /// All machines that are not gone run and reach each other until nothing changes any more.
  run (): void {
    this.heal()
    for (const machine of this.machines) this.start(machine)
    const running = this.machines.filter(machine => machine.isUp)
    for (let round = 0, calmRounds = 0; round < maxRounds && calmRounds < 2; round++) {
      const { version } = this.view
      for (const machine of running) this.playTurn(machine, running)
      calmRounds = this.view.version === version ? calmRounds + 1 : 0
    }
  }

  /// Runs all. Throws `InvariantError` if the view is stuck.
  settle (): void {
    this.run()
    this.checkSettled()
    for (const machine of this.lost) if (!machine.isGone || this.hasSuccessor(machine)) this.lost.delete(machine)
  }

  private playTurn (machine: Machine, running: readonly Machine[]): void {
    this.adopt(machine)
    for (const peer of running) if (this.isMember(peer)) this.copy(machine, peer)
    this.change(machine, true)
    this.checkRecords()
  }

  private checkSettled (): void {
    const staying = this.machines.filter(({ isGone, name }) => !isGone && !this.retired.has(name))
    if (staying.length <= this.toleratedLosses) return
    const stuck = this.view.members.filter(member => {
      const machine = this.machines.find(({ disk }) => disk.id === member.diskId)
      const isPresent = machine !== undefined && (!machine.isGone || !this.hasSuccessor(machine))
      return member.state !== MemberState.serving || !isPresent
    })
    if (stuck.length > 0) throw new InvariantError(`the view is stuck: ${stuck.map(describe).join(', ')}`)
  }

  private computeNext (machine: Machine, isLong: boolean): View {
    const { view, passes, listedVersion, stateVersion, name, disk } = machine
    const present = this.machines.filter(other => other.isUp && !this.isCut(machine, other)).map(other => other.disk.id)
    const presentDiskIds = new Set(present)
    const isListed = view.members.some(member => member.name === name)
    if (!isListed && !needsMember(view, presentDiskIds, this.toleratedLosses)) return view
    return computeNextView(view, {
      own: { name, diskId: disk.id, address: `${name}:1`, zone: 'z' },
      toleratedLosses: this.toleratedLosses,
      listedVersion,
      stateVersion,
      isFirstStart: this.entries.length === 0,
      retiredNames: this.retired,
      passes,
      presentDiskIds,
      lastingDiskIds: presentDiskIds,
      mayTakeBack: true,
      absent: view.members
        .filter(({ diskId }) => isLong && !presentDiskIds.has(diskId))
        .map(({ diskId }) => ({ diskId, isReplaced: true }))
    })
  }

  /// Whether a machine was added after this one had been removed, and stays.
  private hasSuccessor ({ machinesWhenGone }: Machine): boolean {
    return this.machines.slice(machinesWhenGone).some(({ isGone, name }) => !isGone && !this.retired.has(name))
  }

  private countLoss (machine: Machine): boolean {
    if (machine.isGone || this.lost.has(machine) || this.lost.size >= this.toleratedLosses) return false
    this.lost.add(machine)
    return true
  }

  private reaches (entry: Entry, machine: Machine): boolean {
    return machine.isUp && !this.isCut(entry, machine) && entry.view.members.some(({ name }) => name === machine.name)
  }

  private isCut (one: Machine | Entry, other: Machine): boolean {
    return this.separated.has(one) !== this.separated.has(other)
  }

  private adoptReply (entry: Entry, machine: Machine): void {
    const { view } = machine.disk
    if (view.version > entry.view.version) entry.view = view
  }

  private isRuledOut (view: View, absent: ReadonlySet<string>): boolean {
    const { readVoters, absenceQuorum } = computeQuorums(view, this.toleratedLosses)
    return countVoters(absent, readVoters) >= absenceQuorum
  }

  private isMember ({ disk }: Machine): boolean {
    return findDisk(this.view, disk) !== undefined
  }

  private createDisk (): ModelDisk {
    return { id: `d${this.diskCount++}`, records: new Set(), view: emptyView }
  }
}

function findDisk (view: View, { id }: ModelDisk): Member | undefined {
  return view.members.find(({ diskId }) => diskId === id)
}

function countVoters (diskIds: ReadonlySet<string>, voters: ReadonlySet<string>): number {
  return [...diskIds].filter(diskId => voters.has(diskId)).length
}

function describe ({ name, state }: Member): string {
  return `${name} ${state}`
}
