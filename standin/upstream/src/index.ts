export { StandinUpstream, UpstreamFault } from './upstream.js'
export type { RanRequest, UpstreamOptions } from './upstream.js'
