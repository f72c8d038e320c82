export { SealedError } from './port.js'
export type { CommitLog } from './port.js'
