export { keepListening } from './listen.js'
export type { ListenOptions, Listener } from './listen.js'
