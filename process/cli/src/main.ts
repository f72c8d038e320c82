import { text } from 'node:stream/consumers'
import { parseConfigurationText } from '#platform'
import { runCli } from './cli.js'

const fetchTimeoutMs = 2000

// The reader may close the pipe early, as `head` does.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code === 'EPIPE') process.exit()
  process.stderr.write(`chicorynotch: ${error.message}\n`)
  process.exit(1)
})

runCli(process.argv.slice(2), {
  readInput: () => text(process.stdin),
  fetchText: async url => {
    const response = await fetch(url, { signal: AbortSignal.timeout(fetchTimeoutMs) })
    if (!response.ok) throw new Error(`HTTP status ${response.status}`)
    return await response.text()
  },
  parseConfiguration: parseConfigurationText,
  write: output => { process.stdout.write(output) }
}).then(code => { process.exitCode = code }, (error: unknown) => {
  process.stderr.write(`chicorynotch: ${String(error)}\n`)
  process.exitCode = 1
})
