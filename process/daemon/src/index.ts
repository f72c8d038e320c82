export { runDaemon } from './daemon.js'
export type { DaemonPlatform } from './daemon.js'
