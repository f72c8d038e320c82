import { createHash, randomBytes } from 'node:crypto'

/// The name of a call: the program and the call's number in it, from 1.
export interface CallName {
  readonly programId: string
  readonly sequence: number
}

const rootIdBytes = 15
const idPattern = /^[A-Za-z0-9_-]{20}(\.[1-9][0-9]{0,8})*$/

/// Makes a random id for a root program.
export function newRootId (): string {
  return randomBytes(rootIdBytes).toString('base64url')
}

/// Makes the id that an idempotency key of a team always leads to, so that a
/// repeated request opens the same program.
export function rootIdOf (team: string, idempotencyKey: string): string {
  const digest = createHash('sha256').update(`${team}\n${idempotencyKey}`).digest()
  return digest.subarray(0, rootIdBytes).toString('base64url')
}

/// Names the sub-agent that was opened as number `ordinal` of its parent.
export function childIdOf (parentId: string, ordinal: number): string {
  return `${parentId}.${ordinal}`
}

/// The root program of a program, which may be itself.
export function rootOf (programId: string): string {
  const end = programId.indexOf('.')
  return end < 0 ? programId : programId.slice(0, end)
}

export function isProgramId (text: string): boolean {
  return idPattern.test(text)
}

/// The partition that a root program and all its sub-agents belong to.
export function partitionOf (programId: string, partitionCount: number): number {
  return createHash('sha256').update(rootOf(programId)).digest().readUInt32BE(0) % partitionCount
}

/// A name for one attempt at a call. Each dispatch has its own.
export function newAttemptId (): string {
  return randomBytes(12).toString('base64url')
}
