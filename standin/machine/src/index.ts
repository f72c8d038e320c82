export { losePower, PowerLoss } from './powerloss.js'
export { trackFiles } from './trackedfiles.js'
export type { DiskBehaviour } from './trackedfiles.js'
