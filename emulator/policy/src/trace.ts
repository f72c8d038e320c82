import { seededRandom } from './random.js'

/// One program of a trace. `entry` is the index of the entry that receives its calls.
export interface TracedProgram {
  readonly id: string
  readonly startMs: number
  readonly entry: number
  readonly priority: number
  /// Earned in full when the program ends within its latency target.
  readonly value: number
  readonly sharedPromptId: string
  readonly turns: readonly TracedTurn[]
}

export interface TracedTurn {
  readonly inputTokens: number
  readonly outputTokens: number
  /// Time that tools take between this turn and the next.
  readonly thinkMs: number
}

export interface TraceOptions {
  readonly seed: number
  readonly durationMs: number
  readonly programsPerS: number
  readonly entries: number
  /// Share of turns whose own prompt is `longPromptTokens` on average; 0 if absent.
  readonly longPromptShare?: number
}

const programTypes = [
  { share: 0.66, value: 3, priority: 1, turns: 4, thinkMs: 150, inputTokens: 1680 },
  { share: 0.34, value: 10, priority: 0, turns: 9, thinkMs: 20, inputTokens: 840 }
] as const
const sharedPromptCount = 3
const meanOutputTokens = 256
const longPromptTokens = 15_000

/// Generates Poisson arrivals of the two program types that the users' requirements describe,
/// which share a few prompt prefixes.
export function createTrace (options: TraceOptions): TracedProgram[] {
  const { seed, durationMs, programsPerS, entries, longPromptShare = 0 } = options
  const random = seededRandom(seed)
  const vary = (mean: number): number => mean * (0.5 + random())
  // Without long prompts no number is drawn, so that traces of other scenarios stay as they are.
  const isLong = (): boolean => longPromptShare > 0 && random() < longPromptShare
  const programs: TracedProgram[] = []
  for (let startMs = 0; startMs < durationMs; startMs -= Math.log(1 - random()) * 1000 / programsPerS) {
    const programType = random() < programTypes[0].share ? programTypes[0] : programTypes[1]
    const turns = Array.from({ length: Math.max(1, Math.round(vary(programType.turns))) }, () => ({
      inputTokens: Math.round(vary(isLong() ? longPromptTokens : programType.inputTokens)),
      outputTokens: Math.round(vary(meanOutputTokens)),
      thinkMs: vary(programType.thinkMs)
    }))
    programs.push({
      id: `p${programs.length}`,
      startMs,
      entry: Math.floor(random() * entries),
      priority: programType.priority,
      value: programType.value,
      sharedPromptId: `shared-${programType.priority}-${Math.floor(random() * sharedPromptCount)}`,
      turns
    })
  }
  return programs
}
