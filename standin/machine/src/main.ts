import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { resolve } from 'node:path'
import type { MachineMessage } from './behaviour.js'
import { setClockAhead } from './clock.js'
import { Network } from './network.js'
import { trackFiles } from './trackedfiles.js'

// Runs a daemon's bundle on a machine whose disk, clock and links can be disturbed: node MACHINE BUNDLE. Whoever
// starts it does that by messages. `STANDIN_LOCAL_ADDRESS` is what the machine connects to the store from.

const bundle = resolve(process.argv[2]!)
const settings = readFileSync(process.env.CHICORYNOTCH_CONFIG!, 'utf8')
const findText = (key: string): string | null => new RegExp(`^${key} = "(.*)"$`, 'm').exec(settings)?.[1] ?? null
const disk = { syncDelayMs: 0, isFull: false }
const dataDir = findText('data_dir')
if (dataDir !== null && findText('role') === 'storage') trackFiles(dataDir, disk)
const network = new Network(process.env.STANDIN_LOCAL_ADDRESS ?? null, findText('address') ?? '')
network.install()

process.on('message', (message: MachineMessage) => {
  if (message.kind === 'silence') {
    for (const address of message.addresses) network.silence(address)
    return
  }
  const { syncDelayMs, isDiskFull, clockAheadMs, links } = message.behaviour
  Object.assign(disk, { syncDelayMs, isFull: isDiskFull })
  setClockAhead(clockAheadMs)
  network.setLinks(links)
})
// The process ends as if nobody could send it anything.
process.channel?.unref()

createRequire(bundle)(bundle)
