import { readFileSync } from 'node:fs'
import yargs from 'yargs'
import { findDifferences, findProblems } from '#version/configuration'
import type { Configuration } from '#version/configuration'
import { errorMessage } from '#process/log'
import { SettingsError, parseSettings } from '#process/settings'
import { formatLine, formatTimeline, findRelatedLines, parseLogLines, buildTimeline } from './lines.js'
import type { LogLine, TimelineCall } from './lines.js'
import { renderTimelinePage } from './page.js'
import { formatReports, parseReports } from './report.js'
import { findRuns, formatRuns } from './runs.js'
import { formatStatuses, fetchStatuses } from './status.js'

/// A configuration, and what it leaves out of the file that it was read from; one sentence each.
export interface ConfigurationFile {
  readonly configuration: Configuration
  readonly omissions: readonly string[]
}

/// Input and output of the commands. Tests substitute a fake.
export interface CliIo {
  readonly readInput: () => string | Promise<string>
  readonly write: (text: string) => void
  /// Rejects if the response status is not a success.
  readonly fetchText: (url: string) => Promise<string>
  /// Throws if the text is no valid configuration; the message contains no key.
  readonly parseConfiguration: (text: string) => ConfigurationFile
}

/// 0: success. 1: nothing was found, or a check or request failed. 2: invalid arguments.
export type ExitCode = 0 | 1 | 2

const usageErrorCode = 2
const defaultAroundMs = 1000

/// Runs one command of `chicorynotch`. `argv` excludes the program's name.
export async function runCli (argv: readonly string[], io: CliIo): Promise<ExitCode> {
  let code: ExitCode = 0
  // yargs runs a command's handler even after it has reported invalid arguments.
  const run = async (command: () => ExitCode | Promise<ExitCode>): Promise<void> => {
    if (code !== usageErrorCode) code = await command()
  }
  const parser = yargs([...argv]).scriptName('chicorynotch').version(false).strict().demandCommand(1, 'a command is required')
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
    .command('check <file>', 'validate a settings file', builder => builder.positional('file', { type: 'string', demandOption: true })
      .command('configuration <file>', 'validate a configuration before it is written to the store',
        inner => inner.positional('file', { type: 'string', demandOption: true })
          .option('in-force', { type: 'string', describe: 'file with the version in force, to print what differs' }),
        args => run(() => checkConfiguration(args.file, args.inForce, args.json, io))),
    args => run(() => check(args.file, args.json, io)))
    .command('explain <id>', 'print the log lines of a call or program from logs on standard input',
      builder => builder.positional('id', { type: 'string', demandOption: true })
        .option('around-ms', { type: 'number', default: defaultAroundMs, describe: "include state changes of the call's processes within this time before and after" }),
      args => run(() => explain(args.id, args.aroundMs, args.json, io)))
    .command('timeline <program>', "draw a timeline of a program's calls in all processes from logs on standard input",
      builder => builder.positional('program', { type: 'string', demandOption: true })
        .option('html', { type: 'boolean', default: false, describe: 'print an HTML page with a chart' }),
      args => run(() => timeline(args.program, args.json, args.html, io)))
    .command('ends', 'list the starts and ends of processes from logs on standard input', {},
      args => run(() => ends(args.json as boolean, io)))
    .command('status <address...>', 'query processes at their metrics addresses (HOST:PORT)',
      builder => builder.positional('address', { type: 'string', array: true, demandOption: true }),
      args => run(() => status(args.address, args.json, io)))
    .command('report <file...>', 'list the days of journal entries in order of time, with the largest losses of each',
      builder => builder.positional('file', { type: 'string', array: true, demandOption: true })
        .option('site', { type: 'string', describe: 'list this site only' }),
      args => run(() => report(args.file, args.site, args.json, io)))
    .example('chicorynotch report --site tunda-ops journal/*.json', 'show how the results of a site have developed')
    .example('chicorynotch explain 9c41d07be2a35f68 < all.log', 'find out why a call ended as it did')
    .fail((message, error) => {
      if (code !== usageErrorCode) io.write(`chicorynotch: ${message ?? error?.message}\n`)
      code = usageErrorCode
    })
    .exitProcess(false)
  await parser.parseAsync()
  return code
}

function check (file: string, isJson: boolean, { write }: CliIo): ExitCode {
  try {
    const settings = parseSettings(file, readFileSync(file, 'utf8'))
    write(isJson ? toJsonLine(settings) : `${file}: valid, role ${settings.node.role}\n`)
    return 0
  } catch (error) {
    const faults = error instanceof SettingsError ? error.faults : [String(error)]
    write(isJson ? toJsonLine({ file, faults }) : faults.map(fault => `${file}: ${fault}\n`).join(''))
    return 1
  }
}

function checkConfiguration (
  file: string, inForceFile: string | undefined, isJson: boolean, { write, parseConfiguration }: CliIo
): ExitCode {
  const faults: string[] = []
  const parse = (path: string): ConfigurationFile | null => {
    try {
      return parseConfiguration(readFileSync(path, 'utf8'))
    } catch (error) {
      faults.push(`${path}: ${errorMessage(error)}`)
      return null
    }
  }
  const next = parse(file)
  const inForce = inForceFile === undefined ? null : parse(inForceFile)
  const problems = next === null ? [] : [...next.omissions, ...findProblems(next.configuration)]
  faults.push(...problems.map(problem => `${file}: ${problem}`))
  const isCompared = next !== null && inForce !== null
  const differences = isCompared ? findDifferences(inForce.configuration, next.configuration) : []
  const summary = faults.length > 0 ? [] : [`${file}: valid, version ${next!.configuration.version}`]
  const lines = [...faults, ...differences.map(difference => `differs: ${difference}`), ...summary]
  write(isJson ? toJsonLine({ file, faults, differences }) : lines.map(line => `${line}\n`).join(''))
  return faults.length === 0 ? 0 : 1
}

async function status (addresses: readonly string[], isJson: boolean, io: CliIo): Promise<ExitCode> {
  const statuses = await fetchStatuses(addresses, io.fetchText)
  io.write(isJson ? toJsonLine(statuses) : `${formatStatuses(statuses)}\n`)
  return statuses.every(({ values }) => values !== null) ? 0 : 1
}

function report (files: readonly string[], site: string | undefined, isJson: boolean, { write }: CliIo): ExitCode {
  const reports = parseReports(files.map(file => readFileSync(file, 'utf8')))
    .filter(day => site === undefined || day.site === site)
  return writeItems(reports, isJson, days => `${formatReports(days)}\n`, 'no days found', write)
}

async function explain (id: string, aroundMs: number, isJson: boolean, { readInput, write }: CliIo): Promise<ExitCode> {
  const lines = findRelatedLines(parseLogLines(await readInput()), id, aroundMs)
  const format = (found: readonly LogLine[]): string => found.map(line => `${formatLine(line)}\n`).join('')
  return writeItems(lines, isJson, format, `no log lines of ${id}`, write)
}

async function timeline (
  programId: string, isJson: boolean, isHtml: boolean, { readInput, write }: CliIo
): Promise<ExitCode> {
  const calls = buildTimeline(parseLogLines(await readInput()), programId)
  const format = (found: readonly TimelineCall[]): string => {
    return isHtml ? renderTimelinePage(programId, found) : `${formatTimeline(found)}\n`
  }
  return writeItems(calls, isJson, format, `no calls of program ${programId}`, write)
}

async function ends (isJson: boolean, { readInput, write }: CliIo): Promise<ExitCode> {
  const runs = findRuns(parseLogLines(await readInput()))
  return writeItems(runs, isJson, found => `${formatRuns(found)}\n`, 'no log lines', write)
}

/// Writes the items as JSON or formatted. Without items, writes an empty JSON array or `emptyMessage`.
function writeItems<Item> (
  items: readonly Item[],
  isJson: boolean,
  format: (found: readonly Item[]) => string,
  emptyMessage: string,
  write: CliIo['write']
): ExitCode {
  if (isJson) write(toJsonLine(items))
  else write(items.length > 0 ? format(items) : `${emptyMessage}\n`)
  return items.length > 0 ? 0 : 1
}

function toJsonLine (value: unknown): string {
  return `${JSON.stringify(value)}\n`
}
