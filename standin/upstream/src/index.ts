export { StandinUpstream, UpstreamFault } from './upstream.js'
export type { ExecutedRequest, UpstreamOptions } from './upstream.js'
