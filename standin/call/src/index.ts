export { createCall } from './call.js'
