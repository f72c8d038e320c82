export type { UpstreamDirectory, UpstreamView } from './port.js'
