import { z } from 'zod'

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/)
const sha256 = z.string().regex(/^[0-9a-f]{64}$/)
const micros = z.number().int().min(0).max(1e15)
const positive = z.number().int().min(1)

const team = z.strictObject({
  name,
  tokenHash: sha256,
  latencyWeight: z.number().min(0).max(1),
  cacheWeight: z.number().min(0).max(1),
  share: z.number().positive()
})

const agent = z.strictObject({
  name,
  team: name,
  model: name,
  budgetMicros: micros,
  maxTurns: positive,
  timeLimitMs: positive,
  toolPauseMs: z.number().int().min(0)
})

const model = z.strictObject({
  name,
  promptTokenMicros: micros,
  completionTokenMicros: micros,
  contextTokens: positive,
  maxTokens: positive,
  timeoutMs: positive
})

const operation = z.strictObject({
  name,
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
  costMicros: micros,
  timeoutMs: positive
})

const service = z.strictObject({
  name,
  operations: z.array(operation).min(1),
  /// A GET path with `{key}` that answers whether an idempotency key ran.
  lookupPath: z.string().startsWith('/').nullable()
})

const upstream = z.strictObject({
  name,
  kind: z.enum(['model', 'service']),
  serves: name,
  checksFencing: z.boolean()
})

const limits = z.strictObject({
  bodyBytes: positive,
  heldCallMs: positive,
  endedRetentionMs: positive,
  upstreamConcurrency: positive,
  queueLength: positive
})

/// A compiled configuration: everything that the questionnaire decides, as
/// each process uses it. `version` rises with each accepted change.
export const Configuration = z.strictObject({
  schema: z.strictObject({ major: z.number().int(), minor: z.number().int() }),
  version: z.number().int().min(0),
  partitions: positive.max(65536),
  teams: z.array(team),
  operators: z.array(z.strictObject({ name, tokenHash: sha256 })),
  agents: z.array(agent),
  models: z.array(model),
  services: z.array(service),
  upstreams: z.array(upstream),
  limits,
  venture: z.strictObject({ state: z.enum(['open', 'closing']) })
})

export type Configuration = z.infer<typeof Configuration>
export type Team = z.infer<typeof team>
export type Agent = z.infer<typeof agent>
export type Model = z.infer<typeof model>
export type Service = z.infer<typeof service>
export type Operation = z.infer<typeof operation>
export type Upstream = z.infer<typeof upstream>
