export { HeaderCodec } from './codec.js'
export type { AnswerFields, AnswerHead, Dispatch, HeaderNames, RequestHead, UpstreamLoad } from './codec.js'
export { nativeHeaders } from './native.js'
