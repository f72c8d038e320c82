import { existsSync, readFileSync } from 'node:fs'
import { relative } from 'node:path'
import { beforeEach } from 'vitest'

// Skips the tests that KNOWN-RED.txt lists as `test: FILE > TITLE`, unless KNOWN_RED is `run`.

const file = 'KNOWN-RED.txt'
const lines = existsSync(file) && process.env.KNOWN_RED !== 'run' ? readFileSync(file, 'utf8').split('\n') : []
const knownRed = new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length)))

beforeEach(({ task, skip }) => {
  if (knownRed.has(`${relative(process.cwd(), task.file.filepath)} > ${task.name}`)) skip()
})
