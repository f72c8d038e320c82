import { readFileSync } from 'node:fs'
import { runCli } from './cli.js'

const standardInput = 0

runCli(process.argv.slice(2), {
  readInput: () => readFileSync(standardInput, 'utf8'),
  write: text => { process.stdout.write(text) }
}).then(code => { process.exitCode = code }, (error: unknown) => {
  process.stderr.write(`chicorynotch: ${String(error)}\n`)
  process.exitCode = 1
})
