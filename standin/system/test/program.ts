import { exitAtSignals } from '../../../demo/src/signals.js'
import { StandinSystem } from '#standin/system'

// Starts a system, prints the ids of its processes, and waits for a signal.

exitAtSignals()
const system = new StandinSystem({
  command: [process.execPath, '--import', 'tsx', '--conditions=source', 'platform/src/main.ts'],
  entries: 1,
  storages: 3,
  engines: 1,
  services: 1
})
await system.start()
process.stdout.write(`${system.nodes.map(node => node.process.pid).join(' ')}\n`)
