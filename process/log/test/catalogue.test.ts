import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { Events } from '#process/log'

test('docs/EVENTS.md lists each kind of event with its number, name and level', () => {
  const page = readFileSync(new URL('../../../docs/EVENTS.md', import.meta.url), 'utf8')
  const listed = [...page.matchAll(/^\| (\d+) \| `([a-z-]+)` \| (\w+) \|/gm)].map(([, number, name, level]) => `${number} ${name} ${level}`)
  const known = Object.values(Events).map(({ number, name, level }) => `${number} ${name} ${level}`)
  expect(listed).toEqual(known)
})

test('event numbers and names are unique', () => {
  const kinds = Object.values(Events)
  expect(new Set(kinds.map(kind => kind.number)).size).toBe(kinds.length)
  expect(new Set(kinds.map(kind => kind.name)).size).toBe(kinds.length)
})
