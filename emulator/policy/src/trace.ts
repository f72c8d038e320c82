import { seededRandom } from './random.js'

/// One program of a trace: when it comes, through which entry, and its turns.
export interface TracedProgram {
  readonly id: string
  readonly startMs: number
  readonly entry: number
  readonly priority: number
  /// What it earns when it ends in its aim.
  readonly worth: number
  readonly sharedPart: string
  readonly turns: readonly TracedTurn[]
}

export interface TracedTurn {
  readonly inputTokens: number
  readonly outputTokens: number
  /// The pause for tools after it.
  readonly thinkMs: number
}

export interface TraceOptions {
  readonly seed: number
  readonly forMs: number
  readonly programsPerS: number
  readonly entries: number
}

const kinds = [
  { share: 0.66, worth: 3, priority: 1, turns: 4, thinkMs: 150, inputTokens: 1680 },
  { share: 0.34, worth: 10, priority: 0, turns: 9, thinkMs: 20, inputTokens: 840 }
] as const
const sharedParts = 3
const meanOutputTokens = 256

/// Programs as the users' sheets describe them: two kinds, a few shared prompts.
export function makeTrace ({ seed, forMs, programsPerS, entries }: TraceOptions): TracedProgram[] {
  const random = seededRandom(seed)
  const about = (mean: number): number => mean * (0.5 + random())
  const programs: TracedProgram[] = []
  for (let startMs = 0; startMs < forMs; startMs -= Math.log(1 - random()) * 1000 / programsPerS) {
    const kind = random() < kinds[0].share ? kinds[0] : kinds[1]
    const turns = Array.from({ length: Math.max(1, Math.round(about(kind.turns))) }, () => ({
      inputTokens: Math.round(about(kind.inputTokens)),
      outputTokens: Math.round(about(meanOutputTokens)),
      thinkMs: about(kind.thinkMs)
    }))
    programs.push({
      id: `p${programs.length}`,
      startMs,
      entry: Math.floor(random() * entries),
      priority: kind.priority,
      worth: kind.worth,
      sharedPart: `shared-${kind.priority}-${Math.floor(random() * sharedParts)}`,
      turns
    })
  }
  return programs
}
