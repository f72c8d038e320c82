import { RecordKind } from '#connection/rpc'
import type { AccountEntry, LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import { sleep } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { createAccountId } from './access.js'
import { LedgerError, createLedgerRefusal, createRecord, toRecordTokens } from './ledger.js'
import type { ReservedAccount, TurnLedger } from './ledger.js'
import { getHeldTurnId, getRetentionMs } from './retention.js'

/// Assumed maximum of turns of one program that reserve within one round trip and so may miss each other's records.
const maxConcurrentTurns = 8
/// Limit and interval for reading the account again until the turns that must give up their reservation have done so.
const maxReads = 4
const rereadIntervalMs = 25
/// How long a turn near the end of its budget waits for the last members to reply, before it reads the account again.
const maxStragglerWaitMs = 25
const settleTimeoutMs = 1500
const settleRetryDelayMs = 400
const maxSettleAttempts = 8
/// Records of an account are retained for at least this time, also if the route retains its turns for less.
const minAccountRetentionMs = 60_000

/// What a reservation may take.
export interface ReservationLimits {
  /// The most that the turn may generate.
  readonly maxTokens: number
  /// Of the call; null without one. Each has accounts of its own.
  readonly workspace: string | null
  /// How long storage is waited for.
  readonly timeoutMs: number
  /// Until the call ends at the latest.
  readonly remainingMs: number
  /// Of the call, if it will be stored; else 0.
  readonly inputBytes: number
  /// Of the call. A reservation of one that was aborted would take tokens from its retry.
  readonly signal?: AbortSignal
}

/// What a reservation belongs to.
interface ReservationNames {
  readonly callId: string
  readonly programId: string
  /// In place of the program's id in records.
  readonly accountId: string
}

type AppendRecord = (record: LedgerRecord) => Promise<unknown>

/// The tokens that a turn has reserved from its program's budget. Its record also has storage keep the chain that the
/// turn goes on from.
export class TokenReservation {
  /// Whether other turns of the program have spent or reserved tokens.
  hasOtherTurns = false
  private isSettled = false
  private reservedAccount: ReservedAccount | null = null

  private constructor (
    private readonly ledger: TurnLedger,
    private readonly log: EventLog,
    private readonly names: ReservationNames,
    private readonly retentionMs: number,
    private readonly timeoutMs: number
  ) {}

  /// Reserves the most that the turn may generate. Resolves to null if the call
  /// belongs to no program or its program has no budget. Rejects with
  /// `RefusedError` if other turns have used up the budget or if the program's
  /// account can't be read.
  static async acquire (
    call: Call,
    route: Route,
    limits: ReservationLimits,
    ledger: TurnLedger,
    log: EventLog
  ): Promise<TokenReservation | null> {
    const budget = call.program?.tokenBudget ?? null
    if (call.program === null || budget === null) return null
    const { maxTokens, workspace, timeoutMs } = limits
    const retentionMs = Math.max(route.retentionMs, minAccountRetentionMs)
    const { id: programId } = call.program
    const names = { callId: call.id, programId, accountId: createAccountId(programId, workspace) }
    const reservation = new TokenReservation(ledger, log, names, retentionMs, timeoutMs)
    const account = reservation.reservedAccount = await reservation.reserve(limits, getHeldTurnId(call, route))
    const { entries } = account
    const otherSpentTokens = countTokens(entries.filter(entry => entry.settled), call.id)
    let otherTokens = countTokens(entries, call.id)
    const mayExceedBudget = otherTokens > 0 && otherTokens + maxConcurrentTurns * maxTokens > budget
    if (mayExceedBudget && otherSpentTokens < budget) otherTokens = await reservation.recountOthers(account, budget)
    reservation.hasOtherTurns = otherTokens > 0
    if (otherTokens > 0 && otherTokens >= budget) {
      reservation.giveUp()
      throw new RefusedError(
        Refusal.budgetSpent,
        Verdict.notRun,
        `${otherTokens} of ${budget} tokens are spent or reserved by other turns of the program`
      )
    }
    return reservation
  }

  /// The account as it was read with the reservation.
  get account (): ReservedAccount {
    return this.reservedAccount!
  }

  /// Replaces the reservation by the tokens delivered to the caller. Runs in
  /// the background; until it is done the whole reservation counts as spent.
  settle (tokens: number): void {
    this.startSettlement(tokens, record => this.ledger.appendSoon(record))
  }

  /// Settles a reservation that was not used, at once, since concurrent turns may be waiting for it.
  private giveUp (): void {
    this.startSettlement(0, record => this.ledger.append([record], settleTimeoutMs))
  }

  private startSettlement (tokens: number, append: AppendRecord): void {
    if (this.isSettled) return
    this.isSettled = true
    this.writeSettlement(tokens, append).catch((error: unknown) => {
      const { callId, programId } = this.names
      this.log.event(Events.settleAbandoned, {
        callId,
        programId,
        tokens,
        error: formatError(error)
      })
    })
  }

  /// Marks the reservation as settled by the record of the stored turn, which has the tokens.
  markSettled (): void {
    this.isSettled = true
  }

  private async reserve (
    { maxTokens, remainingMs, inputBytes, signal }: ReservationLimits, previousId: string
  ): Promise<ReservedAccount> {
    const { callId, accountId } = this.names
    const record = {
      ...createRecord(RecordKind.reservation, callId, accountId, getRetentionMs(this.retentionMs, remainingMs)),
      tokens: toRecordTokens(maxTokens),
      previousId,
      inputBytes
    }
    const account = this.ledger.reserve(record, this.timeoutMs, signal).catch((error: unknown) => {
      if (error instanceof LedgerError && !error.wasSent) this.isSettled = true
      throw error
    })
    return await this.refuseOnError(account)
  }

  /// Counts the tokens of other turns again once this turn's reservation is stored.
  ///
  /// Concurrent reservations may miss each other when they are made. Of those
  /// whose account is complete, or that read it again, the last one to be stored
  /// sees all others. If they exceed the budget together, those with the highest
  /// ids are given up.
  private async recountOthers (account: ReservedAccount, budget: number): Promise<number> {
    const { callId } = this.names
    const complete = await account.readComplete(maxStragglerWaitMs)
    const completeTokens = complete === null ? budget : countTokens(complete, callId)
    if (completeTokens < budget) return completeTokens
    for (let reads = 1; ; reads++) {
      const entries = await this.readAccount()
      const otherTokens = countTokens(entries, callId)
      const precedingTokens = countTokens(entries.filter(entry => entry.settled || entry.id < callId), callId)
      if (otherTokens < budget || precedingTokens >= budget || reads === maxReads) return otherTokens
      await sleep(rereadIntervalMs)
    }
  }

  private async readAccount (): Promise<AccountEntry[]> {
    return await this.refuseOnError(this.ledger.readAccount(this.names.accountId, this.timeoutMs))
  }

  private async refuseOnError<Account> (account: Promise<Account>): Promise<Account> {
    try {
      return await account
    } catch (error) {
      this.giveUp()
      throw createLedgerRefusal(this.ledger, error)
    }
  }

  private async writeSettlement (tokens: number, append: AppendRecord): Promise<void> {
    const { callId, accountId } = this.names
    const record = {
      ...createRecord(RecordKind.settlement, callId, accountId, this.retentionMs),
      tokens: toRecordTokens(tokens)
    }
    for (let attempts = 1; ; attempts++) {
      try {
        await append(record)
        return
      } catch (error) {
        if (attempts >= maxSettleAttempts) throw error
      }
      await sleep(settleRetryDelayMs)
    }
  }
}

/// Sums the tokens of entries other than `exceptId`: those spent if it is settled, else those reserved.
export function countTokens (entries: readonly AccountEntry[], exceptId: string): number {
  let total = 0
  for (const entry of entries) {
    if (entry.id !== exceptId) total += entry.settled ? entry.spent : entry.reserved
  }
  return total
}
