export { StandinStore, StoreFault } from './store.js'
