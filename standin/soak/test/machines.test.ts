import { expect, test } from 'vitest'
import { usualBehaviour, usualLink } from '#standin/machine'
import type { MachineBehaviour, MachineMessage } from '#standin/machine'
import type { SystemNode } from '#standin/system'
import { Machines } from '../src/machines.js'

const cut = { ...usualLink, isSendingCut: true }
const slow = { ...usualLink, delayMs: 40 }

/// A node that keeps what is sent to its process.
function createNode (i: number): { node: SystemNode, messages: MachineMessage[] } {
  const messages: MachineMessage[] = []
  const process = { connected: true, send: (message: MachineMessage) => messages.push(message) }
  return { node: { callersAddress: `c:${i}`, peerPort: i, process } as unknown as SystemNode, messages }
}

function last (messages: readonly MachineMessage[]): MachineBehaviour | undefined {
  const message = messages.at(-1)
  return message?.kind === 'behaviour' ? message.behaviour : undefined
}

test('disturbances that overlap each last until their own end', () => {
  const [{ node, messages }, { node: other }] = [createNode(0), createNode(1)]
  const machines = new Machines()
  const endCut = machines.disturbLink(node, other, cut)
  const endSlow = machines.disturbLink(node, other, slow)
  const endFull = machines.disturb(node, { isDiskFull: true })
  const both = { ...cut, delayMs: 40 }
  expect(last(messages)).toEqual({ ...usualBehaviour, isDiskFull: true, links: { 'c:1': both, '127.0.0.1:1': both } })
  endCut()
  expect(last(messages)).toEqual({ ...usualBehaviour, isDiskFull: true, links: { 'c:1': slow, '127.0.0.1:1': slow } })
  endSlow()
  endFull()
  expect(last(messages)).toEqual(usualBehaviour)
})

test('a process that is started again is told how its machine behaves', () => {
  const { node, messages } = createNode(0)
  const machines = new Machines()
  machines.disturb(node, { syncDelayMs: 100 })
  messages.length = 0
  machines.restore(node)
  expect(last(messages)).toEqual({ ...usualBehaviour, syncDelayMs: 100 })
})

test('connections to some nodes go silent', () => {
  const [{ node, messages }, { node: other }] = [createNode(0), createNode(1)]
  new Machines().silence(node, [other])
  expect(messages).toEqual([{ kind: 'silence', addresses: ['c:1', '127.0.0.1:1'] }])
})
