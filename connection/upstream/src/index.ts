export { InstanceClient, UpstreamError } from './client.js'
export type { ResponseHandler, InFlightRequest, UpstreamRequest } from './client.js'
export { Pool } from './pool.js'
