import { expect, test } from 'vitest'
import { RequestBacklog } from '../src/requestbacklog.js'

// Guards against very many requests that were read and wait, which take more memory than the process has.

function create (name: string, closed: string[]): { closeBacklogged: () => void } {
  return { closeBacklogged: () => { closed.push(name) } }
}

test('beyond the bound the connection with the most is closed, and its requests count no more', () => {
  const closed: string[] = []
  const backlog = new RequestBacklog(100)
  const [first, second] = [create('a', closed), create('b', closed)]
  for (let i = 0; i < 7; i++) backlog.add(first, 10)
  for (let i = 0; i < 3; i++) backlog.add(second, 10)
  expect([backlog.bytes, closed]).toEqual([100, []])
  backlog.add(second, 10)
  expect([backlog.bytes, closed]).toEqual([40, ['a']])
  backlog.remove(first, 10)
  expect(backlog.bytes).toBe(40)
})

test('a request that waits no more makes room', () => {
  const closed: string[] = []
  const backlog = new RequestBacklog(100)
  const only = create('a', closed)
  for (let i = 0; i < 1000; i++) {
    backlog.add(only, 60)
    backlog.remove(only, 60)
  }
  expect([backlog.bytes, closed]).toEqual([0, []])
  backlog.add(only, 60)
  backlog.removeAll(only)
  expect(backlog.bytes).toBe(0)
})
