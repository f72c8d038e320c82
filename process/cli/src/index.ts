export { runCli } from './cli.js'
export type { CliIo, ExitCode } from './cli.js'
export { findRelatedLines, parseLogLines, buildTimeline } from './lines.js'
export type { LogLine, TimelineCall } from './lines.js'
