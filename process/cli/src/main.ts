import { readFileSync } from 'node:fs'
import { runCli } from './cli.js'

const standardInput = 0
const fetchTimeoutMs = 2000

// Whoever reads the output may stop early, as `head` does.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error
  process.exit()
})

runCli(process.argv.slice(2), {
  readInput: () => readFileSync(standardInput, 'utf8'),
  fetchText: async url => {
    const answer = await fetch(url, { signal: AbortSignal.timeout(fetchTimeoutMs) })
    if (!answer.ok) throw new Error(`status ${answer.status}`)
    return await answer.text()
  },
  write: text => { process.stdout.write(text) }
}).then(code => { process.exitCode = code }, (error: unknown) => {
  process.stderr.write(`chicorynotch: ${String(error)}\n`)
  process.exitCode = 1
})
