export { HeaderCodec } from './codec.js'
export type { ResponseFields, ResponseHead, Dispatch, HeaderNames, RequestHead, UpstreamLoad } from './codec.js'
export { nativeHeaders } from './native.js'
