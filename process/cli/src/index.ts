export { runCli } from './cli.js'
export type { CliStreams, ExitCode } from './cli.js'
export { linesAbout, readLines, timelineOf } from './lines.js'
export type { LogLine, TimelineCall } from './lines.js'
