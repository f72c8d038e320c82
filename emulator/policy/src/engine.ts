/// Performance figures of a model engine, as the platform's specification gives them.
export interface EngineProfile {
  readonly slots: number
  /// Base duration of a decode step, in which each running call generates one token.
  readonly stepMs: number
  /// Added to a decode step by each running call.
  readonly stepMsPerCall: number
  /// Added to a decode step by each 1,000 prompt tokens of the running calls.
  readonly stepMsPerKContext: number
  readonly prefillTokensPerMs: number
  /// Multiplies prefill and decode times, since instances differ in speed.
  readonly slowdownFactor: number
}

/// A call at an emulated engine.
export interface EngineCall {
  /// The parts of the prompt that other prompts may share, in order from its start.
  readonly prefix: readonly { readonly id: string, readonly tokens: number }[]
  readonly outputTokens: number
  /// Called with the first output token, with the numbers of calls then running and waiting at the engine.
  onFirstToken (running: number, waiting: number): void
  onEnd (): void
}

interface RunningCall {
  readonly call: EngineCall
  readonly contextKTokens: number
  prefillTokensLeft: number
  outputTokensLeft: number
  hasStarted: boolean
}

const tickMs = 5

/// Runs up to `slots` calls as one batch and queues the others in order of arrival. Time advances
/// in ticks: each tick first prefills prompts, then spends what is left on decoding for all running calls.
export class EmulatedEngine {
  private readonly running: RunningCall[] = []
  private readonly waiting: EngineCall[] = []
  private readonly cached = new Set<string>()
  private timer: ReturnType<typeof setInterval> | null = null
  /// Multiplies the profile's `slowdownFactor`, for a time in which the engine is slower than usual.
  temporarySlowdown = 1

  constructor (readonly profile: EngineProfile) {}

  run (call: EngineCall): void {
    this.waiting.push(call)
    this.admit()
    this.timer ??= setInterval(() => this.advance(), tickMs)
  }

  private admit (): void {
    while (this.running.length < this.profile.slots && this.waiting.length > 0) {
      const call = this.waiting.shift()!
      const contextKTokens = call.prefix.reduce((sum, part) => sum + part.tokens, 0) / 1000
      const prefillTokensLeft = this.countUncachedTokens(call)
      this.running.push({
        call,
        contextKTokens,
        prefillTokensLeft,
        outputTokensLeft: call.outputTokens,
        hasStarted: false
      })
    }
  }

  private countUncachedTokens (call: EngineCall): number {
    let tokens = 0
    let isCached = true
    for (const part of call.prefix) {
      isCached &&= this.cached.has(part.id)
      if (!isCached) tokens += part.tokens
      this.cached.add(part.id)
    }
    return tokens
  }

  private advance (): void {
    const { prefillTokensPerMs } = this.profile
    const { slowdownFactor } = this
    const decodeMs = tickMs -
      this.prefill(tickMs * prefillTokensPerMs / slowdownFactor) / prefillTokensPerMs * slowdownFactor
    const tokens = decodeMs / this.stepMs()
    for (const running of [...this.running]) {
      if (running.prefillTokensLeft > 0) continue
      if (!running.hasStarted) running.call.onFirstToken(this.running.length, this.waiting.length)
      running.hasStarted = true
      running.outputTokensLeft -= tokens
      if (running.outputTokensLeft > 0) continue
      this.running.splice(this.running.indexOf(running), 1)
      running.call.onEnd()
    }
    this.admit()
    if (this.running.length > 0 || this.timer === null) return
    clearInterval(this.timer)
    this.timer = null
  }

  private get slowdownFactor (): number {
    return this.profile.slowdownFactor * this.temporarySlowdown
  }

  private stepMs (): number {
    const { stepMs, stepMsPerCall, stepMsPerKContext } = this.profile
    const contextKTokens = this.running.reduce((sum, running) => sum + running.contextKTokens, 0)
    return (stepMs + stepMsPerCall * this.running.length + stepMsPerKContext * contextKTokens) * this.slowdownFactor
  }

  /// Prefills up to `tokens` prompt tokens in order of arrival. Returns how many were prefilled.
  private prefill (tokens: number): number {
    let remainingTokens = tokens
    for (const running of this.running) {
      const prefilledTokens = Math.min(remainingTokens, running.prefillTokensLeft)
      running.prefillTokensLeft -= prefilledTokens
      remainingTokens -= prefilledTokens
    }
    return tokens - remainingTokens
  }
}
