import type { Configuration, Workspace } from './configuration.js'

type Fields = Readonly<Record<string, unknown>>
type Items = ReadonlyMap<string, object>

/// Returns what a configuration changes of the one in force; one sentence each. Keys are counted, not named.
export function findDifferences (inForce: Configuration, next: Configuration): string[] {
  return [
    ...compareVersions(inForce.version, next.version),
    ...compareItems('route', byName(inForce.routes), byName(next.routes)),
    ...compareItems('service', inForce.services, next.services),
    ...compareFields('limits', inForce.callerLimits, next.callerLimits),
    ...compareWorkspaces(inForce, next)
  ]
}

function compareVersions (inForce: number, next: number): string[] {
  if (next > inForce) return []
  return [`version ${next} is not above version ${inForce}, which is in force: entries will ignore it`]
}

function compareWorkspaces (inForce: Configuration, next: Configuration): string[] {
  if (inForce.workspaces === null && next.workspaces !== null) return ['workspaces: calls need a key from now on']
  if (inForce.workspaces !== null && next.workspaces === null) return ['workspaces: calls need no key any more']
  const before = byName([...inForce.workspaces?.all ?? []])
  const after = byName([...next.workspaces?.all ?? []])
  const withoutKeys = ({ priority, quota }: Workspace): Fields => ({ priority, quota })
  return [
    ...compareItems('workspace', mapValues(before, withoutKeys), mapValues(after, withoutKeys)),
    ...[...after].flatMap(([name, workspace]) => compareKeys(name, before.get(name)?.keys ?? null, workspace.keys))
  ]
}

function compareKeys (name: string, before: readonly string[] | null, after: readonly string[]): string[] {
  if (before === null) return []
  const added = after.filter(key => !before.includes(key)).length
  const removed = before.filter(key => !after.includes(key)).length
  return added + removed === 0 ? [] : [`workspace ${name}: keys added: ${added}, removed: ${removed}`]
}

function compareItems (kind: string, before: Items, after: Items): string[] {
  const names = [...new Set([...before.keys(), ...after.keys()])]
  return names.flatMap(name => {
    const [old, current] = [before.get(name), after.get(name)]
    if (old === undefined) return [`${kind} ${name}: added`]
    return current === undefined ? [`${kind} ${name}: removed`] : compareFields(`${kind} ${name}`, old, current)
  })
}

function compareFields (item: string, before: object, after: object): string[] {
  return Object.entries(after).flatMap(([name, value]) => {
    const [old, current] = [(before as Fields)[name], value].map(part => JSON.stringify(part))
    return old === current ? [] : [`${item}: ${name} from ${old} to ${current}`]
  })
}

function byName<Item extends { readonly name: string }> (items: readonly Item[]): ReadonlyMap<string, Item> {
  return new Map(items.map(item => [item.name, item]))
}

function mapValues<Value> (map: ReadonlyMap<string, Value>, transform: (value: Value) => Fields): Map<string, Fields> {
  return new Map([...map].map(([key, value]) => [key, transform(value)]))
}
