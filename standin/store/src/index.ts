export { changeObjects, listObjects } from './deliver.js'
export { StandinStore, StoreFault } from './store.js'
