import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { resolve } from 'node:path'
import { trackFiles } from './trackedfiles.js'

// Runs a daemon's bundle on a machine whose disk can lose power: node MACHINE BUNDLE

const bundle = resolve(process.argv[2]!)
const settings = readFileSync(process.env.CHICORYNOTCH_CONFIG!, 'utf8')
const dataDir = /^data_dir = "(.*)"$/m.exec(settings)?.[1]
if (dataDir !== undefined && /^role = "storage"$/m.test(settings)) {
  trackFiles(dataDir, { syncDelayMs: 0, isFull: false })
}
createRequire(bundle)(bundle)
