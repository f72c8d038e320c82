import { readFileSync } from 'node:fs'
import yargs from 'yargs'
import { SettingsError, parseSettings } from '#process/settings'
import { formatLine, formatTimeline, linesAbout, readLines, timelineOf } from './lines.js'

/// Where the command line reads and writes; tests give their own.
export interface CliStreams {
  readonly readInput: () => string
  readonly write: (text: string) => void
}

/// 0 done, 1 found nothing or a fault, 2 wrong words.
export type ExitCode = 0 | 1 | 2

const defaultAroundMs = 1000

/// Runs one command of `chicorynotch`.
export async function runCli (words: readonly string[], streams: CliStreams): Promise<ExitCode> {
  let code: ExitCode = 0
  const end = (next: ExitCode): void => { code = next }
  const parser = yargs([...words]).scriptName('chicorynotch').version(false).strict().demandCommand(1, 'a command is needed')
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
    .command('check <file>', 'check a settings file whole', builder => builder.positional('file', { type: 'string', demandOption: true }),
      args => end(check(args.file, args.json, streams)))
    .command('explain <id>', "print a call's or program's way through logs on standard input",
      builder => builder.positional('id', { type: 'string', demandOption: true })
        .option('around-ms', { type: 'number', default: defaultAroundMs, describe: 'what the processes believed this long before and after' }),
      args => end(explain(args.id, args.aroundMs, args.json, streams)))
    .command('timeline <program>', "draw a program's calls over all processes from logs on standard input",
      builder => builder.positional('program', { type: 'string', demandOption: true }),
      args => end(timeline(args.program, args.json, streams)))
    .example('chicorynotch explain 9c41d07be2a35f68 < all.log', 'why did this call end as it did?')
    .fail((message, error) => {
      streams.write(`chicorynotch: ${message ?? error?.message}\n`)
      end(2)
    })
    .exitProcess(false)
  await parser.parseAsync()
  return code
}

function check (file: string, isJson: boolean, { write }: CliStreams): ExitCode {
  try {
    const settings = parseSettings(file, readFileSync(file, 'utf8'))
    write(isJson ? `${JSON.stringify(settings)}\n` : `${file}: sound, role ${settings.node.role}\n`)
    return 0
  } catch (error) {
    const faults = error instanceof SettingsError ? error.faults : [String(error)]
    write(isJson ? `${JSON.stringify({ file, faults })}\n` : faults.map(fault => `${file}: ${fault}\n`).join(''))
    return 1
  }
}

function explain (id: string, aroundMs: number, isJson: boolean, { readInput, write }: CliStreams): ExitCode {
  const lines = linesAbout(readLines(readInput()), id, aroundMs)
  if (lines.length === 0) {
    write(isJson ? '[]\n' : `no line about ${id}\n`)
    return 1
  }
  write(isJson ? `${JSON.stringify(lines)}\n` : lines.map(line => `${formatLine(line)}\n`).join(''))
  return 0
}

function timeline (programId: string, isJson: boolean, { readInput, write }: CliStreams): ExitCode {
  const calls = timelineOf(readLines(readInput()), programId)
  if (calls.length === 0) {
    write(isJson ? '[]\n' : `no call of ${programId}\n`)
    return 1
  }
  write(isJson ? `${JSON.stringify(calls)}\n` : `${formatTimeline(calls)}\n`)
  return 0
}
