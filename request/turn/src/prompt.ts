import type { LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'

/// A turn with a longer prompt is refused for good: any entry must be able to read the chain of a turn that was served.
export const maxPromptBytes = 24 * 1024 * 1024

/// Takes memory for a history. Rejects with `RefusedError`.
type TakeMemory = (bytes: number) => Promise<void>

/// Counts the bytes of a turn's prompt while its history is read.
export class PromptMeter {
  private historyBytes = 0
  /// What was taken of the memory, also for turns that are still to be read.
  private takenBytes = 0

  /// The memory of the input is taken already. Throws `RefusedError` if that alone is too long.
  constructor (private readonly input: Buffer, private readonly takeMemory: TakeMemory) {
    this.assertLength(0)
  }

  /// Waits for memory for these turns and those before them. Rejects with `RefusedError` if the prompt is too long with
  /// them, or if there is no memory for them.
  async addTurns (turns: readonly LedgerRecord[], earlierBytes: number): Promise<void> {
    this.historyBytes += turns.reduce((sum, turn) => sum + turn.input.length + turn.output.length, 0)
    const bytes = this.historyBytes + earlierBytes
    this.assertLength(bytes)
    if (bytes <= this.takenBytes) return
    const moreBytes = bytes - this.takenBytes
    this.takenBytes = bytes
    await this.takeMemory(moreBytes)
  }

  private assertLength (historyBytes: number): void {
    const bytes = historyBytes + this.input.length
    if (bytes <= maxPromptBytes) return
    const message = `the prompt has ${bytes} bytes with the previous turns, the most is ${maxPromptBytes}`
    throw new RefusedError(Refusal.promptTooLong, Verdict.notRun, message)
  }
}

/// Shorter parts of a prompt are joined with those beside them, so that few pieces are written to a connection.
const minPieceBytes = 64 * 1024

/// Builds the prompt for an instance: inputs and outputs of the previous turns, then the new input. Returned in pieces,
/// as long ones aren't copied.
export function buildPrompt (history: readonly LedgerRecord[], input: Buffer): readonly Buffer[] {
  const pieces: Buffer[] = []
  let short: Buffer[] = []
  const joinShort = (): void => {
    if (short.length > 0) pieces.push(short.length === 1 ? short[0]! : Buffer.concat(short))
    short = []
  }
  for (const part of [...history.flatMap(turn => [turn.input, turn.output]), input]) {
    if (part.length === 0) continue
    if (part.length >= minPieceBytes) {
      joinShort()
      pieces.push(part)
    } else {
      short.push(part)
    }
  }
  joinShort()
  return pieces
}
