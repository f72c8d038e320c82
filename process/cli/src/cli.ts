import { readFileSync } from 'node:fs'
import yargs from 'yargs'
import { SettingsError, parseSettings } from '#process/settings'
import { formatLine, formatTimeline, findRelatedLines, parseLogLines, buildTimeline } from './lines.js'
import type { LogLine, TimelineCall } from './lines.js'
import { timelinePage } from './page.js'
import { formatReports, readReports } from './report.js'
import { formatStatus, readStatus } from './status.js'

/// Where the command line reads and writes; tests give their own.
export interface CliIo {
  readonly readInput: () => string
  readonly write: (text: string) => void
  /// Rejects where the answer isn't a success.
  readonly fetchText: (url: string) => Promise<string>
}

/// 0 done, 1 found nothing or a fault, 2 wrong words.
export type ExitCode = 0 | 1 | 2

const wrongWords = 2
const defaultAroundMs = 1000

/// Runs one command of `chicorynotch`.
export async function runCli (words: readonly string[], streams: CliIo): Promise<ExitCode> {
  let code: ExitCode = 0
  // The parser calls a command's handler also where it has found a fault in the words.
  const run = async (work: () => ExitCode | Promise<ExitCode>): Promise<void> => {
    if (code !== wrongWords) code = await work()
  }
  const parser = yargs([...words]).scriptName('chicorynotch').version(false).strict().demandCommand(1, 'a command is needed')
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
    .command('check <file>', 'check a settings file whole', builder => builder.positional('file', { type: 'string', demandOption: true }),
      args => run(() => check(args.file, args.json, streams)))
    .command('explain <id>', "print a call's or program's way through logs on standard input",
      builder => builder.positional('id', { type: 'string', demandOption: true })
        .option('around-ms', { type: 'number', default: defaultAroundMs, describe: 'what the processes believed this long before and after' }),
      args => run(() => explain(args.id, args.aroundMs, args.json, streams)))
    .command('timeline <program>', "draw a program's calls over all processes from logs on standard input",
      builder => builder.positional('program', { type: 'string', demandOption: true })
        .option('html', { type: 'boolean', default: false, describe: 'print a page with a picture' }),
      args => run(() => timeline(args.program, args.json, args.html, streams)))
    .command('status <address...>', 'ask processes on their metrics addresses (HOST:PORT)',
      builder => builder.positional('address', { type: 'string', array: true, demandOption: true }),
      args => run(() => status(args.address, args.json, streams)))
    .command('report <file...>', 'show the days of journal entries over time, with what took most from each',
      builder => builder.positional('file', { type: 'string', array: true, demandOption: true })
        .option('site', { type: 'string', describe: 'only this site' }),
      args => run(() => report(args.file, args.site, args.json, streams)))
    .example('chicorynotch report --site tunda-ops journal/*.json', 'how has the site come on?')
    .example('chicorynotch explain 9c41d07be2a35f68 < all.log', 'why did this call end as it did?')
    .fail((message, error) => {
      if (code !== wrongWords) streams.write(`chicorynotch: ${message ?? error?.message}\n`)
      code = wrongWords
    })
    .exitProcess(false)
  await parser.parseAsync()
  return code
}

function check (file: string, isJson: boolean, { write }: CliIo): ExitCode {
  try {
    const settings = parseSettings(file, readFileSync(file, 'utf8'))
    write(isJson ? jsonText(settings) : `${file}: sound, role ${settings.node.role}\n`)
    return 0
  } catch (error) {
    const faults = error instanceof SettingsError ? error.faults : [String(error)]
    write(isJson ? jsonText({ file, faults }) : faults.map(fault => `${file}: ${fault}\n`).join(''))
    return 1
  }
}

async function status (addresses: readonly string[], isJson: boolean, streams: CliIo): Promise<ExitCode> {
  const statuses = await readStatus(addresses, streams.fetchText)
  streams.write(isJson ? jsonText(statuses) : `${formatStatus(statuses)}\n`)
  return statuses.every(({ values }) => values !== null) ? 0 : 1
}

function report (files: readonly string[], site: string | undefined, isJson: boolean, { write }: CliIo): ExitCode {
  const reports = readReports(files.map(file => readFileSync(file, 'utf8')))
    .filter(day => site === undefined || day.site === site)
  return show(reports, isJson, days => `${formatReports(days)}\n`, 'no day was played', write)
}

function explain (id: string, aroundMs: number, isJson: boolean, { readInput, write }: CliIo): ExitCode {
  const lines = findRelatedLines(parseLogLines(readInput()), id, aroundMs)
  const print = (found: readonly LogLine[]): string => found.map(line => `${formatLine(line)}\n`).join('')
  return show(lines, isJson, print, `no line about ${id}`, write)
}

function timeline (programId: string, isJson: boolean, isPage: boolean, { readInput, write }: CliIo): ExitCode {
  const calls = buildTimeline(parseLogLines(readInput()), programId)
  const draw = (found: readonly TimelineCall[]): string => {
    return isPage ? timelinePage(programId, found) : `${formatTimeline(found)}\n`
  }
  return show(calls, isJson, draw, `no call of ${programId}`, write)
}

/// Writes what was found; where that is nothing, an empty list as JSON and a sentence otherwise.
function show<Item> (
  found: readonly Item[],
  isJson: boolean,
  format: (found: readonly Item[]) => string,
  nothing: string,
  write: CliIo['write']
): ExitCode {
  if (isJson) write(jsonText(found))
  else write(found.length > 0 ? format(found) : `${nothing}\n`)
  return found.length > 0 ? 0 : 1
}

function jsonText (value: unknown): string {
  return `${JSON.stringify(value)}\n`
}
