import { RecordKind } from '#connection/rpc'
import type { AccountEntry } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import { Events, messageOf } from '#process/log'
import type { EventLog } from '#process/log'
import { blankRecord } from './ledger.js'
import type { TurnLedger } from './ledger.js'

const reserveTimeoutMs = 900
const settleTimeoutMs = 1500
const settleRetryPauseMs = 400
const settleTries = 8
const ledgerRetryMs = 250
/// Accounts outlive the turns that they count by at least this time.
const minAccountRetentionMs = 60_000

/// One turn's share of its program's token budget.
export class TurnAccount {
  /// Whether other turns of the program have spent tokens or are about to.
  hasOthers = false
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
  static async open (
    call: Call,
    route: Route,
    mostTokens: number,
    ledger: TurnLedger,
    log: EventLog
  ): Promise<TurnAccount | null> {
    const budget = call.program?.tokenBudget ?? null
    if (call.program === null || budget === null) return null
    const retentionMs = Math.max(route.retentionMs, minAccountRetentionMs)
    const account = new TurnAccount(ledger, log, call.id, call.program.id, retentionMs)
    const entries = await account.reserve(mostTokens)
    const others = countTokens(entries, call.id)
    account.hasOthers = others > 0
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
        error: messageOf(error)
      })
    })
  }

  /// The turn's own record counts the tokens.
  settledByTurn (): void {
    this.isSettled = true
  }

  private async reserve (mostTokens: number): Promise<AccountEntry[]> {
    const record = {
      ...blankRecord(RecordKind.reservation, this.callId, this.programId, this.retentionMs),
      tokens: mostTokens
    }
    try {
      return await this.ledger.reserve(record, reserveTimeoutMs)
    } catch (error) {
      this.settle(0)
      throw new RefusedError(Refusal.ledgerUnavailable, Verdict.notRun, messageOf(error), ledgerRetryMs)
    }
  }

  private async keepSettling (tokens: number): Promise<void> {
    const record = { ...blankRecord(RecordKind.settlement, this.callId, this.programId, this.retentionMs), tokens }
    for (let tries = 1; ; tries++) {
      try {
        await this.ledger.append([record], settleTimeoutMs)
        return
      } catch (error) {
        if (tries >= settleTries) throw error
      }
      await new Promise(resolve => setTimeout(resolve, settleRetryPauseMs))
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
