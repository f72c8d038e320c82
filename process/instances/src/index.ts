export { estimateRunning, noteCached, noteFailure, noteLoad, noteSuccess } from './instance.js'
export type { Instance, InstanceDescription } from './instance.js'
export { InstanceRegistry } from './registry.js'
export type { ReadInstance, RegistryOptions } from './registry.js'
