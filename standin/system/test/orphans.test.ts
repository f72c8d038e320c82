import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { expect, test, vi } from 'vitest'

function isAlive (pid: number): boolean {
  try {
    return process.kill(pid, 0)
  } catch {
    return false
  }
}

// Guards against processes of a demo or soak that went on running, and held their ports, when it was ended by a signal.
test.each([['SIGINT', 130], ['SIGTERM', 143], ['SIGHUP', 129]] as const)(
  'a program that is ended by %s leaves no process of its system',
  async (signal, status) => {
    const program = spawn(process.execPath, ['--import', 'tsx', '--conditions=source', 'standin/system/test/program.ts'])
    const [line] = await once(program.stdout, 'data') as [Buffer]
    const pids = line.toString().trim().split(' ').map(Number)
    expect(pids.map(isAlive)).toEqual([true, true, true, true])
    program.kill(signal)
    expect(await once(program, 'exit')).toEqual([status, null])
    await vi.waitFor(() => expect(pids.map(isAlive)).toEqual([false, false, false, false]), 5000)
  }, 30_000
)
