export { runDaemon } from './daemon.js'
export type { DaemonPlatform } from './daemon.js'
export type { ConnectedPlatform } from './role.js'
