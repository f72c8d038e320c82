import { parse } from 'smol-toml'
import * as z from 'zod/mini'
import { isAddress } from '#connection/address'

/// The roles that a daemon can run as.
export const Role = { entry: 'entry', sidecar: 'sidecar', storage: 'storage' } as const

export type Role = typeof Role[keyof typeof Role]

const nonEmptyString = z.string().check(z.minLength(1))
const address = z.string().check(z.refine(isAddress, 'an address has the form HOST:PORT'))
const port = z.number().check(z.int(), z.minimum(0), z.maximum(65535))
const durationMs = z.number().check(z.minimum(0))
const count = z.number().check(z.int(), z.minimum(0))

const settingsSchema = z.strictObject({
  node: z.strictObject({
    name: nonEmptyString,
    role: z.enum(Object.values(Role)),
    zone: nonEmptyString,
    ip: nonEmptyString,
    /// True for the first start of the whole system, with empty disks.
    first_start: z.boolean(),
    /// The share of a processor that the process gets, and how many times as fast as one its processor is.
    processor_share: z.optional(z.number().check(z.positive())),
    processor_speed: z.optional(z.number().check(z.positive())),
    /// The memory that the process may use.
    memory_mb: z.optional(z.number().check(z.positive())),
    /// The descriptors that the process may have open.
    max_descriptors: z.optional(z.number().check(z.int(), z.positive())),
    /// Number of disks that may be lost at the same time without data loss.
    tolerated_losses: count
  }),
  listen: z.strictObject({
    callers: z.optional(address),
    readiness: z.optional(address),
    readiness_path: z.optional(z.string().check(z.startsWith('/'))),
    peer_port: port,
    metrics_port: port
  }),
  store: z.strictObject({ address }),
  storage: z.optional(z.strictObject({ data_dir: nonEmptyString, disk_mb: z.number().check(z.minimum(1)) })),
  engine: z.optional(z.strictObject({ address })),
  /// How far the requests of a workspace that run in a window may exceed its quota.
  quota: z.optional(z.strictObject({
    window_ms: z.number().check(z.positive()),
    /// Share of what the quota allows in a window.
    overshoot_share: z.number().check(z.minimum(0)),
    slack_requests: z.number().check(z.minimum(0))
  })),
  /// Of these keys the daemon uses only stop_grace_ms so far; the others are only validated.
  timing: z.strictObject({
    /// Time between SIGTERM and SIGKILL.
    stop_grace_ms: durationMs,
    /// How long an instance that is draining may still be sent calls.
    drain_ms: durationMs,
    /// Time in which a new storage disk must have copied all records.
    catch_up_ms: durationMs,
    heartbeat_ms: durationMs
  })
})

/// The settings of one process, with the keys of its settings file.
export type Settings = z.infer<typeof settingsSchema>

/// A settings file is invalid. Each fault names a key and what is wrong with it: the value found and what is allowed, a
/// missing key or table, or an unknown key. A TOML syntax error is a single fault without a key.
export class SettingsError extends Error {
  override readonly name = 'SettingsError'

  constructor (readonly file: string, readonly faults: readonly string[]) {
    super(`${file}: ${faults.join('; ')}`)
  }
}

/// Parses and validates the contents of a settings file. Throws `SettingsError`.
export function parseSettings (file: string, toml: string): Settings {
  let table: unknown
  try {
    table = parse(toml)
  } catch (error) {
    throw new SettingsError(file, [error instanceof Error ? error.message.split('\n')[0]! : String(error)])
  }
  const result = settingsSchema.safeParse(table)
  if (!result.success) throw new SettingsError(file, result.error.issues.map(issue => describeIssue(issue, table)))
  const faults = findRoleFaults(result.data)
  if (faults.length > 0) throw new SettingsError(file, faults)
  return result.data
}

function findRoleFaults (settings: Settings): string[] {
  const { role } = settings.node
  const faults: string[] = []
  if (role === Role.entry && settings.listen.callers === undefined) faults.push('listen.callers: an entry needs an address')
  if (role === Role.entry && settings.listen.readiness === undefined) faults.push('listen.readiness: an entry needs an address')
  if (role === Role.storage && settings.storage === undefined) faults.push('storage: a storage instance needs this table')
  if (role === Role.sidecar && settings.engine === undefined) faults.push('engine: a sidecar needs this table')
  return faults
}

function describeIssue (issue: z.core.$ZodIssue, table: unknown): string {
  const found = JSON.stringify(issue.path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key],
    table
  ))
  const key = issue.path.join('.')
  if (issue.code === 'unrecognized_keys') return `${[key, issue.keys.join(', ')].filter(part => part !== '').join('.')}: unknown key`
  return `${key}: found ${found ?? 'nothing'}: ${describeAllowed(issue)}`
}

function describeAllowed (issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_type') return `expected ${issue.expected}`
  if (issue.code === 'invalid_value') return `expected one of ${issue.values.join(', ')}`
  return issue.message
}
