export { createCall } from './call.js'
export { createRequestBudget } from './memory.js'
