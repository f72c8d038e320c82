export { plainCall } from './call.js'
