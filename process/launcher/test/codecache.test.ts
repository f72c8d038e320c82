import { mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test, vi } from 'vitest'
import { StandinSystem, buildDaemon } from '#standin/system'

// The built daemon as a real process, with a code cache that V8 must not get.

let folder: string
let system: StandinSystem
let cacheFile: string
let cache: Buffer

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  const command = await buildDaemon(folder)
  cacheFile = join(folder, 'daemon.cjs.cache')
  cache = await readFile(cacheFile)
  system = new StandinSystem({ command, entries: 0, storages: 1, engines: 0, services: 0 })
  await system.start()
}, 30_000)

beforeEach(() => { system.storages[0]!.outputLines.length = 0 })

afterEach(async () => {
  vi.unstubAllEnvs()
  await writeFile(cacheFile, cache)
})

afterAll(async () => {
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

async function restart (): Promise<string> {
  const [node] = system.storages
  await system.restart(node!, 'SIGKILL', false)
  await vi.waitFor(() => {
    expect(node!.process.signalCode).toBe(null)
    expect(node!.outputLines.join('\n')).toContain('process-started')
  }, { timeout: 10_000 })
  return node!.outputLines.find(line => line.includes('code-cache-unused')) ?? ''
}

function flipBytes (bytes: Buffer): Buffer {
  return Buffer.from(bytes.map((byte, i) => i % 5000 === 2500 ? byte ^ 0xff : byte))
}

function editHeader (bytes: Buffer, pattern: RegExp, replacement: string): Buffer {
  const headerEnd = bytes.indexOf('\n')
  const header = bytes.toString('utf8', 0, headerEnd).replace(pattern, replacement)
  return Buffer.concat([Buffer.from(header), bytes.subarray(headerEnd)])
}

test('a build leaves a code cache that is used, and no other file', async () => {
  expect(await restart()).toBe('')
  expect((await readdir(folder)).sort()).toEqual(['chicorynotchd.cjs', 'daemon.cjs', 'daemon.cjs.cache'])
})

// Guards against starts that a damaged code cache ended with SIGSEGV.
test.each<[string, (bytes: Buffer) => Buffer, string]>([
  ['its second half zeros', bytes => Buffer.concat([bytes.subarray(0, bytes.length >> 1), Buffer.alloc(bytes.length - (bytes.length >> 1))]), 'cacheChecksum'],
  ['a byte flipped each 5,000', flipBytes, 'cacheChecksum'],
  ['cut in half', bytes => bytes.subarray(0, bytes.length >> 1), 'cacheBytes'],
  ['empty', () => Buffer.alloc(0), 'its header'],
  ['without its header', bytes => bytes.subarray(bytes.indexOf('\n') + 1), 'its header'],
  ['of another kind of machine', bytes => editHeader(bytes, /"arch":"\w+"/, '"arch":"other"'), 'arch'],
  ['of another version of Node.js', bytes => editHeader(bytes, /"node":"[^"]+"/, '"node":"v20.0.0"'), 'node'],
  ['of another bundle of the same length', bytes => editHeader(bytes, /"bundleChecksum":\d+/, '"bundleChecksum":1'), 'bundleChecksum']
])('a code cache, %s: the process starts without it, and says why', async (_, damage, reason) => {
  await writeFile(cacheFile, damage(cache))
  expect(await restart()).toContain(reason)
}, 20_000)

test('no code cache: the process starts without it, and says why', async () => {
  await rm(cacheFile)
  expect(await restart()).toContain('ENOENT')
})

test('a code cache that V8 rejects: the process says so', async () => {
  vi.stubEnv('NODE_OPTIONS', '--max-old-space-size=200')
  expect(await restart()).toContain('V8 rejected it')
})
