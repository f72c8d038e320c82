export { InstanceClient, UpstreamError } from './client.js'
export type { AnswerSink, Sending, UpstreamRequest } from './client.js'
export { Pool } from './pool.js'
