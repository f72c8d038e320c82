import { parse } from 'smol-toml'
import * as z from 'zod/mini'

/// The roles that one daemon can take.
export const Role = { entry: 'entry', sidecar: 'sidecar', storage: 'storage' } as const

export type Role = typeof Role[keyof typeof Role]

const text = z.string().check(z.minLength(1))
const address = z.string().check(z.regex(/^[0-9a-zA-Z.-]+:\d{1,5}$/, 'an address has the form HOST:PORT'))
const port = z.number().check(z.int(), z.minimum(0), z.maximum(65535))
const durationMs = z.number().check(z.minimum(0))
const count = z.number().check(z.int(), z.minimum(0))

const schema = z.strictObject({
  node: z.strictObject({
    name: text,
    role: z.enum(Object.values(Role)),
    zone: text,
    ip: text,
    /// The whole system starts for the first time, on empty disks.
    first_start: z.boolean(),
    /// Disks whose loss at the same time must lose nothing.
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
  storage: z.optional(z.strictObject({ data_dir: text, disk_mb: z.number().check(z.minimum(1)) })),
  engine: z.optional(z.strictObject({ address })),
  timing: z.strictObject({
    /// From SIGTERM to SIGKILL.
    stop_grace_ms: durationMs,
    /// How long an instance that is leaving may still be sent calls.
    drain_ms: durationMs,
    /// How long a storage disk that is new has to be complete.
    catch_up_ms: durationMs,
    heartbeat_ms: durationMs
  })
})

/// The settings of one process, as its file holds them.
export type Settings = z.infer<typeof schema>

/// A settings file that can't be used. Each fault names its key, what was
/// found and what is allowed.
export class SettingsError extends Error {
  override readonly name = 'SettingsError'

  constructor (readonly file: string, readonly faults: readonly string[]) {
    super(`${file}: ${faults.join('; ')}`)
  }
}

/// Reads and checks a settings file's whole text; throws `SettingsError`.
export function parseSettings (file: string, toml: string): Settings {
  let table: unknown
  try {
    table = parse(toml)
  } catch (error) {
    throw new SettingsError(file, [error instanceof Error ? error.message.split('\n')[0]! : String(error)])
  }
  const result = schema.safeParse(table)
  if (!result.success) throw new SettingsError(file, result.error.issues.map(issue => describe(issue, table)))
  const faults = roleFaults(result.data)
  if (faults.length > 0) throw new SettingsError(file, faults)
  return result.data
}

function roleFaults (settings: Settings): string[] {
  const { role } = settings.node
  const faults: string[] = []
  if (role === Role.entry && settings.listen.callers === undefined) faults.push('listen.callers: an entry needs an address')
  if (role === Role.entry && settings.listen.readiness === undefined) faults.push('listen.readiness: an entry needs an address')
  if (role === Role.storage && settings.storage === undefined) faults.push('storage: a storage instance needs this table')
  if (role === Role.sidecar && settings.engine === undefined) faults.push('engine: a sidecar needs this table')
  return faults
}

function describe (issue: z.core.$ZodIssue, table: unknown): string {
  const found = JSON.stringify(issue.path.reduce<unknown>(
    (at, key) => (at as Record<PropertyKey, unknown> | undefined)?.[key],
    table
  ))
  const key = issue.path.join('.')
  if (issue.code === 'unrecognized_keys') return `${[key, issue.keys.join(', ')].filter(part => part !== '').join('.')}: unknown key`
  return `${key}: found ${found ?? 'nothing'}: ${allowed(issue)}`
}

function allowed (issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_type') return `expected ${issue.expected}`
  if (issue.code === 'invalid_value') return `expected one of ${issue.values.join(', ')}`
  return issue.message
}
