/// A model engine's traits, as the platform's sheet gives them.
export interface EngineProfile {
  readonly slots: number
  readonly stepMs: number
  /// What each running call adds to a step.
  readonly stepMsPerCall: number
  /// What each 1,000 tokens of a running call's prompt add to a step.
  readonly stepMsPerKContext: number
  readonly prefillTokensPerMs: number
  /// Step times are multiplied with this: instances differ in speed.
  readonly slowness: number
}

/// A call at an emulated engine.
export interface EngineCall {
  /// The parts of its prompt, outermost first.
  readonly prefix: readonly { readonly id: string, readonly tokens: number }[]
  readonly outputTokens: number
  /// With the first token: what runs and waits there then.
  onFirstToken (running: number, waiting: number): void
  onEnd (): void
}

interface Running {
  readonly call: EngineCall
  readonly contextK: number
  prefillLeft: number
  tokensLeft: number
  hasBegun: boolean
}

const quantumMs = 5

/// Batches up to `slots` calls, the rest waits in order of arrival. Time goes in
/// quanta: prompts are read first, then each running call gets its tokens.
export class EmulatedEngine {
  private readonly running: Running[] = []
  private readonly waiting: EngineCall[] = []
  private readonly cached = new Set<string>()
  private timer: ReturnType<typeof setInterval> | null = null

  constructor (readonly traits: EngineProfile) {}

  run (call: EngineCall): void {
    this.waiting.push(call)
    this.admit()
    this.timer ??= setInterval(() => this.advance(), quantumMs)
  }

  private admit (): void {
    while (this.running.length < this.traits.slots && this.waiting.length > 0) {
      const call = this.waiting.shift()!
      const contextK = call.prefix.reduce((sum, part) => sum + part.tokens, 0) / 1000
      const prefillLeft = this.unread(call)
      this.running.push({ call, contextK, prefillLeft, tokensLeft: call.outputTokens, hasBegun: false })
    }
  }

  private unread (call: EngineCall): number {
    let tokens = 0
    let isKept = true
    for (const part of call.prefix) {
      isKept &&= this.cached.has(part.id)
      if (!isKept) tokens += part.tokens
      this.cached.add(part.id)
    }
    return tokens
  }

  private advance (): void {
    const { prefillTokensPerMs, slowness } = this.traits
    const decodeMs = quantumMs - this.prefill(quantumMs * prefillTokensPerMs / slowness) / prefillTokensPerMs * slowness
    const tokens = decodeMs / this.stepMs()
    for (const running of [...this.running]) {
      if (running.prefillLeft > 0) continue
      if (!running.hasBegun) running.call.onFirstToken(this.running.length, this.waiting.length)
      running.hasBegun = true
      running.tokensLeft -= tokens
      if (running.tokensLeft > 0) continue
      this.running.splice(this.running.indexOf(running), 1)
      running.call.onEnd()
    }
    this.admit()
    if (this.running.length > 0 || this.timer === null) return
    clearInterval(this.timer)
    this.timer = null
  }

  private stepMs (): number {
    const { stepMs, stepMsPerCall, stepMsPerKContext, slowness } = this.traits
    const contextK = this.running.reduce((sum, running) => sum + running.contextK, 0)
    return (stepMs + stepMsPerCall * this.running.length + stepMsPerKContext * contextK) * slowness
  }

  /// Reads prompts in order of arrival; returns the tokens that were read.
  private prefill (tokens: number): number {
    let left = tokens
    for (const running of this.running) {
      const read = Math.min(left, running.prefillLeft)
      running.prefillLeft -= read
      left -= read
    }
    return tokens - left
  }
}
