export { DatagramSocket } from './datagramsocket.js'
export type { DatagramFields, DatagramHandlers } from './datagramsocket.js'
