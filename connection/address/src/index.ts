export { isAddress, isUnicastAddress, splitAddress } from './address.js'
