import { RecordKind } from '#connection/rpc'
import type { AccountEntry } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import { sleep } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { createRecord } from './ledger.js'
import type { TurnLedger } from './ledger.js'

const reserveTimeoutMs = 900
/// Turns of one program that may be opened within one round trip: so many may not see each other.
const openTogether = 8
/// How often, and after which pause, the account is read until those that give way have done so.
const maxReads = 4
const rereadPauseMs = 25
const settleTimeoutMs = 1500
const settleRetryPauseMs = 400
const settleTries = 8
const ledgerRetryMs = 250
/// Accounts outlive the turns that they count by at least this time.
const minAccountRetentionMs = 60_000

/// One turn's share of its program's token budget.
export class TokenReservation {
  /// Whether other turns of the program have spent tokens or are about to.
  hasOtherTurns = false
  private isSettled = false

  private constructor (
    private readonly ledger: TurnLedger,
    private readonly log: EventLog,
    private readonly callId: string,
    private readonly programId: string,
    private readonly retentionMs: number
  ) {}

  /// Reserves the most that the turn may generate. Rejects with `RefusedError`
  /// where the budget is spent, or where the account can't be known.
  static async acquire (
    call: Call,
    route: Route,
    mostTokens: number,
    ledger: TurnLedger,
    log: EventLog
  ): Promise<TokenReservation | null> {
    const budget = call.program?.tokenBudget ?? null
    if (call.program === null || budget === null) return null
    const retentionMs = Math.max(route.retentionMs, minAccountRetentionMs)
    const account = new TokenReservation(ledger, log, call.id, call.program.id, retentionMs)
    const entries = await account.reserve(mostTokens)
    const spent = countTokens(entries.filter(entry => entry.settled), call.id)
    let others = countTokens(entries, call.id)
    const isClose = others > 0 && others + openTogether * mostTokens > budget
    if (isClose && spent < budget) others = await account.countAgain(budget)
    account.hasOtherTurns = others > 0
    if (others > 0 && others >= budget) {
      account.settle(0)
      throw new RefusedError(Refusal.budgetSpent, Verdict.notRun, `${others} of ${budget} tokens are spent or reserved`)
    }
    return account
  }

  /// Counts what was handed to the caller, in place of the reservation. Goes on
  /// in the background; until it is done the reservation counts at its most.
  settle (tokens: number): void {
    if (this.isSettled) return
    this.isSettled = true
    this.keepSettling(tokens).catch((error: unknown) => {
      this.log.event(Events.settleAbandoned, {
        callId: this.callId,
        programId: this.programId,
        tokens,
        error: formatError(error)
      })
    })
  }

  /// The turn's own record counts the tokens.
  markSettled (): void {
    this.isSettled = true
  }

  private async reserve (mostTokens: number): Promise<AccountEntry[]> {
    const record = {
      ...createRecord(RecordKind.reservation, this.callId, this.programId, this.retentionMs),
      tokens: mostTokens
    }
    return await this.orRefuse(this.ledger.reserve(record, reserveTimeoutMs))
  }

  /// Counts the others' tokens once this turn's reservation is kept.
  ///
  /// Reservations that are made at once may each miss some of the others; of
  /// those that pass here, the one that was kept last sees all. Where they
  /// leave no room for each other, those with the highest ids give way.
  private async countAgain (budget: number): Promise<number> {
    for (let reads = 1; ; reads++) {
      const entries = await this.read()
      const others = countTokens(entries, this.callId)
      const before = countTokens(entries.filter(entry => entry.settled || entry.id < this.callId), this.callId)
      if (others < budget || before >= budget || reads === maxReads) return others
      await sleep(rereadPauseMs)
    }
  }

  private async read (): Promise<AccountEntry[]> {
    return await this.orRefuse(this.ledger.readAccount(this.programId, reserveTimeoutMs))
  }

  private async orRefuse (entries: Promise<AccountEntry[]>): Promise<AccountEntry[]> {
    try {
      return await entries
    } catch (error) {
      this.settle(0)
      throw new RefusedError(Refusal.ledgerUnavailable, Verdict.notRun, formatError(error), ledgerRetryMs)
    }
  }

  private async keepSettling (tokens: number): Promise<void> {
    const record = { ...createRecord(RecordKind.settlement, this.callId, this.programId, this.retentionMs), tokens }
    for (let tries = 1; ; tries++) {
      try {
        await this.ledger.append([record], settleTimeoutMs)
        return
      } catch (error) {
        if (tries >= settleTries) throw error
      }
      await sleep(settleRetryPauseMs)
    }
  }
}

/// The tokens of a program's other turns: what they spent, or may still spend.
export function countTokens (entries: readonly AccountEntry[], exceptId: string): number {
  let total = 0
  for (const entry of entries) {
    if (entry.id !== exceptId) total += entry.settled ? entry.spent : entry.reserved
  }
  return total
}
