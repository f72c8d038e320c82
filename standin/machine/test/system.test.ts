import { mkdtemp, rm } from 'node:fs/promises'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { losePower, PowerLoss, usualBehaviour, usualLink } from '#standin/machine'
import { StandinSystem, buildDaemon, buildMachine } from '#standin/system'
import type { SystemNode } from '#standin/system'

const maxTries = 60
const retryDelayMs = 100

let folder: string
let system: StandinSystem

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-machine-test-'))
  const [, bundle] = await buildDaemon(folder)
  const command = await buildMachine(folder, bundle!)
  system = new StandinSystem({ command, entries: 1, storages: 3, engines: 1, services: 1, hasMachines: true })
  await system.start()
}, 30_000)

afterAll(async () => {
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

/// Returns the status of the response.
function takeTurn (id: string, previousTurnId: string | null): Promise<number> {
  const [host, port] = system.entries[0]!.callersAddress.split(':')
  const headers = {
    host: 'demo.example',
    'attempt-id': id,
    'deadline-ms': '4000',
    'program-id': 'p',
    'session-id': 'p',
    'program-deadline-ms': '20000',
    'token-budget': '100000',
    'token-usage': '400,200',
    ...previousTurnId === null ? {} : { 'previous-turn': previousTurnId }
  }
  return new Promise(resolve => {
    const sent = request({ host, port, method: 'POST', path: '/chat/1', headers, agent: false }, response => {
      response.resume().once('close', () => resolve(response.complete ? response.statusCode! : 0))
    })
    sent.once('error', () => resolve(0)).end(id)
  })
}

/// Returns the id of the try that was served.
async function takeTurnServed (id: string, previousTurnId: string | null): Promise<string> {
  for (let tries = 0; tries < maxTries; tries++) {
    const status = await takeTurn(`${id}x${tries}`, previousTurnId)
    if (status === 200) return `${id}x${tries}`
    // It would be one of a turn that is lost.
    expect(status).not.toBe(404)
    await sleep(retryDelayMs)
  }
  throw new Error(`${id} isn't served`)
}

async function losePowerOf (nodes: readonly SystemNode[], loss: PowerLoss): Promise<void> {
  await Promise.all(nodes.map(async node => {
    const closed = new Promise(resolve => { node.process.once('close', resolve) })
    node.process.kill('SIGKILL')
    await closed
    losePower(node.dataDir, loss, Math.random)
    await system.startAgain(node, false)
  }))
}

test.each(Object.values(PowerLoss))('turns outlive that all machines lose power and %s of what is unsynced is left', async loss => {
  const id = await takeTurnServed(`first-${loss}`, null)
  await losePowerOf(system.nodes, loss)
  await system.waitUntilReady()
  await takeTurnServed(`next-${loss}`, id)
}, 30_000)

test('a cut between the entry and all storage machines holds turns up until it is over', async () => {
  const [entry] = system.entries
  const cut = { ...usualLink, isSendingCut: true, isReceivingCut: true }
  const addresses = system.storages.map(({ peerPort }) => `127.0.0.1:${peerPort}`)
  const links = Object.fromEntries(addresses.map(address => [address, cut]))
  entry!.process.send({ kind: 'behaviour', behaviour: { ...usualBehaviour, links } })
  expect(await takeTurn('cut', null)).not.toBe(200)
  entry!.process.send({ kind: 'behaviour', behaviour: usualBehaviour })
  await takeTurnServed('healed', null)
}, 30_000)
