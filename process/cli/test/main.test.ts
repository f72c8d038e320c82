import { execFileSync, spawn } from 'node:child_process'
import type { ChildProcess, SpawnOptions } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, constants, mkdtempSync, openSync, rmSync, writeSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { text } from 'node:stream/consumers'
import { expect, test } from 'vitest'

// The command line as a process: its input, its output and signals.

const program = [process.execPath, '--import', 'tsx', '--conditions=source', 'process/cli/src/main.ts']
const line = '{"level":30,"time":1,"node":"e1","event":501,"callId":"c1","msg":"call-finished"}\n'

/// Runs the script in a shell, with the command line as "$@".
function runShell (script: string, stdio: SpawnOptions['stdio'] = ['pipe', 'pipe', 'pipe']): ChildProcess {
  return spawn('sh', ['-c', script, 'sh', ...program], { stdio })
}

// A terminal, or a pipe that another program shares, may be non-blocking: reading ended with EAGAIN.
test('a standard input without data yet is waited for, also if it is non-blocking', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'cli-'))
  const path = join(folder, 'input')
  execFileSync('mkfifo', [path])
  const reader = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK)
  const writer = openSync(path, constants.O_WRONLY)
  // A child's descriptors 0 to 2 are made blocking, descriptor 3 stays as it is.
  const child = runShell('exec "$@" explain c1 <&3 3<&-', ['ignore', 'pipe', 'pipe', reader])
  closeSync(reader)
  const write = (): void => {
    writeSync(writer, line)
    closeSync(writer)
  }
  setTimeout(write, 2000)
  const output = await text(child.stdout!)
  rmSync(folder, { recursive: true })
  expect(output).toContain('call-finished')
})

test.each(['SIGINT', 'SIGTERM', 'SIGHUP'] as const)('%s ends it while it reads', async signal => {
  const child = spawn(program[0]!, [...program.slice(1), 'explain', 'c1'], { stdio: ['pipe', 'ignore', 'inherit'] })
  // More than a pipe holds: all of it is written when the child reads.
  await new Promise(resolve => child.stdin.write(line.repeat(20_000), resolve))
  child.kill(signal)
  expect(await once(child, 'exit')).toEqual([null, signal])
})

test.each([
  ['a reader that ends early', '"$@" explain c1 | head -n 1', 'call-finished', ''],
  ['a disk that is full', '"$@" explain c1 > /dev/full; echo $?', '1\n', 'chicorynotch: ENOSPC: no space left on device, write\n']
])('%s: no stack is printed', async (_, script, output, error) => {
  const child = runShell(script)
  child.stdin!.on('error', () => {}).end(line.repeat(20_000))
  const [stdout, stderr] = await Promise.all([text(child.stdout!), text(child.stderr!)])
  expect(stdout).toContain(output)
  expect(stderr).toBe(error)
})
