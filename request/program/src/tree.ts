import type { CallSettled, ChatMessage, LogRecord, OpenIntent, ProgramOpened, ProgramState, TurnPointer } from '#connection/wire'
import { Verdict, rootOf } from '#request/call'

/// Where a record was committed.
export interface Position {
  readonly logId: string
  readonly segment: number
}

/// The status of a program. `releasing` has ended but engines may still hold
/// memory for it.
export const ProgramStatus = {
  open: 'open',
  releasing: 'releasing',
  ended: 'ended'
} as const

type Body<Case extends string> = Extract<NonNullable<LogRecord['body']>, { $case: Case }>
type BodyCase = NonNullable<LogRecord['body']>['$case']

interface Context {
  readonly record: LogRecord
  readonly position: Position
}

type Update = (tree: ProgramTree, context: Context) => ProgramTree

/// A root program with all its sub-agents: the unit that has one budget and
/// one owner. A value that never changes; `apply` makes the next one out of a
/// committed record.
export class ProgramTree {
  private constructor (readonly rootId: string, private readonly programs: ReadonlyMap<string, ProgramState>) {}

  static empty (rootId: string): ProgramTree {
    return new ProgramTree(rootId, new Map())
  }

  /// Builds a tree from a checkpoint's programs, all of one root.
  static of (rootId: string, programs: Iterable<ProgramState>): ProgramTree {
    return new ProgramTree(rootId, new Map([...programs].map(program => [program.programId, program])))
  }

  get root (): ProgramState | undefined {
    return this.programs.get(this.rootId)
  }

  get (programId: string): ProgramState | undefined {
    return this.programs.get(programId)
  }

  /// All programs of the tree, parents before their sub-agents.
  all (): Iterable<ProgramState> {
    return this.programs.values()
  }

  /// What the root's budget has left, in millionths of the budget's currency,
  /// with open reservations counted as spent.
  get availableMicros (): number {
    const { root } = this
    return root === undefined ? 0 : root.budgetMicros - root.spentMicros - root.reservedMicros
  }

  /// The tree after a committed record. A record of a program that the tree
  /// does not know changes nothing, unless it opens it.
  apply (record: LogRecord, position: Position): ProgramTree {
    const { body } = record
    if (body === undefined) return this
    if (body.$case !== 'opened' && !this.programs.has(record.programId)) return this
    return updates[body.$case](this, { record, position })
  }

  /// The tree with one program changed.
  with (programId: string, change: Partial<ProgramState>): ProgramTree {
    const program = this.programs.get(programId)
    if (program === undefined) return this
    return this.put({ ...program, ...change })
  }

  put (program: ProgramState): ProgramTree {
    return new ProgramTree(this.rootId, new Map(this.programs).set(program.programId, program))
  }

  /// The tree with the root's reservation and spending moved.
  charge (reservedMicros: number, spentMicros: number): ProgramTree {
    const { root } = this
    if (root === undefined) return this
    return this.with(this.rootId, {
      reservedMicros: root.reservedMicros + reservedMicros,
      spentMicros: root.spentMicros + spentMicros
    })
  }
}

const updates: Readonly<Record<BodyCase, Update>> = {
  opened: (tree, { record }) => {
    const { value } = record.body as Body<'opened'>
    if (tree.get(record.programId) !== undefined) return tree
    const parent = tree.get(value.parentId)
    const opened = tree.put(openedState(record, value)).charge(value.reservedMicros, 0)
    return parent === undefined ? opened : opened.with(parent.programId, { children: parent.children + 1 })
  },

  reserved: (tree, { record }) => {
    const { value } = record.body as Body<'reserved'>
    const program = tree.get(record.programId)!
    return tree
      .charge(value.reservedMicros, 0)
      .with(program.programId, { turnReservedMicros: program.turnReservedMicros + value.reservedMicros })
  },

  returned: (tree, { record }) => {
    const { value } = record.body as Body<'returned'>
    const program = tree.get(record.programId)!
    return tree
      .charge(-value.returnedMicros, 0)
      .with(program.programId, { turnReservedMicros: program.turnReservedMicros - value.returnedMicros })
  },

  intended: (tree, { record }) => {
    const { value } = record.body as Body<'intended'>
    const program = tree.get(record.programId)!
    const intent: OpenIntent = { intent: value, atMs: record.atMs, unsettled: false }
    return tree
      .charge(value.reservedMicros, 0)
      .with(program.programId, { intents: [...program.intents, intent] })
  },

  settled: (tree, { record, position }) => {
    const { value } = record.body as Body<'settled'>
    return settle(tree, record.programId, value, position)
  },

  ended: (tree, { record }) => {
    const { value } = record.body as Body<'ended'>
    const program = tree.get(record.programId)!
    const status = program.holders.length > 0 ? ProgramStatus.releasing : ProgramStatus.ended
    return tree.with(program.programId, { status, endReason: value.reason, endedMs: record.atMs })
  },

  released: (tree, { record }) => {
    const { value } = record.body as Body<'released'>
    const program = tree.get(record.programId)!
    const holders = program.holders.filter(holder => holder.sidecarId !== value.sidecarId)
    const done = program.status === ProgramStatus.releasing && holders.length === 0
    return tree.with(program.programId, { holders, status: done ? ProgramStatus.ended : program.status })
  }
}

function openedState (record: LogRecord, value: ProgramOpened): ProgramState {
  return {
    programId: record.programId,
    parentId: value.parentId,
    team: value.team,
    agent: value.agent,
    status: ProgramStatus.open,
    openedMs: record.atMs,
    deadlineMs: value.deadlineMs,
    maxTurns: value.maxTurns,
    budgetMicros: value.budgetMicros,
    spentMicros: 0,
    reservedMicros: 0,
    nextSequence: 1,
    historyBytes: 0,
    turns: [],
    intents: [],
    holders: [],
    endReason: '',
    endedMs: 0,
    turnReservedMicros: value.reservedMicros,
    idempotencyKey: value.idempotencyKey,
    attainedMs: 0,
    children: 0
  }
}

function settle (tree: ProgramTree, programId: string, value: CallSettled, position: Position): ProgramTree {
  const program = tree.get(programId)!
  const charged = tree.charge(value.reservedMicros - value.releasedMicros, value.spentMicros)
  const engineMs = value.outcome?.answer?.engineMs ?? 0
  const root = charged.root
  const attained = root === undefined
    ? charged
    : charged.with(root.programId, { attainedMs: root.attainedMs + engineMs })
  return attained.with(programId, {
    intents: program.intents.filter(open => open.intent?.sequence !== value.sequence),
    turnReservedMicros: nextTurnReservation(program, value),
    holders: withHolder(program, value),
    ...consumed(program, value, position)
  })
}

// An intent carries its own reservation, so only a model turn touches the
// one that was made for the program's next turn.
function nextTurnReservation (program: ProgramState, value: CallSettled): number {
  const hadIntent = program.intents.some(open => open.intent?.sequence === value.sequence)
  const left = hadIntent ? program.turnReservedMicros : program.turnReservedMicros - value.releasedMicros
  return left + value.reservedMicros
}

function withHolder (program: ProgramState, value: CallSettled): ProgramState['holders'] {
  if (value.sidecarId === '') return program.holders
  const others = program.holders.filter(holder => holder.sidecarId !== value.sidecarId)
  return [...others, { sidecarId: value.sidecarId, incarnation: value.sidecarIncarnation }]
}

// A call that is proved not to have run leaves its number free.
function consumed (program: ProgramState, value: CallSettled, position: Position): Partial<ProgramState> {
  const verdict = verdictOf(value)
  if (verdict === Verdict.notRun) return {}
  const kind = value.spec?.kind ?? ''
  const pointer: TurnPointer = { sequence: value.sequence, digest: value.digest, kind, verdict, ...position }
  return {
    nextSequence: Math.max(program.nextSequence, value.sequence + 1),
    turns: [...program.turns.filter(turn => turn.sequence !== value.sequence), pointer],
    historyBytes: program.historyBytes + bytesOf(messagesOf(value))
  }
}

/// Whether a settled call ran: an answer says that it did.
export function verdictOf (value: CallSettled): string {
  return value.outcome?.refusal?.verdict ?? Verdict.ran
}

/// The messages that a settled model call adds to its program's history.
export function messagesOf (value: CallSettled): ChatMessage[] {
  const answer = value.outcome?.answer
  if (value.spec?.kind !== 'model' || answer === undefined) return []
  return [...value.spec.messages, { role: 'assistant', content: answer.text }]
}

/// The size of messages as the history counts it, in bytes of UTF-8.
export function bytesOf (messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, message) => sum + Buffer.byteLength(message.content) + message.role.length, 0)
}

/// The programs of one partition, by root program.
export class ProgramTable {
  private constructor (private readonly trees: Map<string, ProgramTree>) {}

  static empty (): ProgramTable {
    return new ProgramTable(new Map())
  }

  static of (programs: Iterable<ProgramState>): ProgramTable {
    const byRoot = new Map<string, ProgramState[]>()
    for (const program of programs) {
      const rootId = rootOf(program.programId)
      byRoot.set(rootId, [...byRoot.get(rootId) ?? [], program])
    }
    return new ProgramTable(new Map([...byRoot].map(([rootId, part]) => [rootId, ProgramTree.of(rootId, part)])))
  }

  tree (programId: string): ProgramTree | undefined {
    return this.trees.get(rootOf(programId))
  }

  get (programId: string): ProgramState | undefined {
    return this.tree(programId)?.get(programId)
  }

  /// Replaces the record's tree by the tree after that record.
  apply (record: LogRecord, position: Position): void {
    const rootId = rootOf(record.programId)
    const tree = this.trees.get(rootId) ?? ProgramTree.empty(rootId)
    this.trees.set(rootId, tree.apply(record, position))
  }

  * programs (): Iterable<ProgramState> {
    for (const tree of this.trees.values()) yield * tree.all()
  }

  /// Forgets a root program with its sub-agents.
  forget (rootId: string): void {
    this.trees.delete(rootId)
  }
}
