export { estimateMeanOthers, estimateRunning, hasRecentlyHandled, recordCachedParts, recordFailure, recordHandledObject, recordLoad, recordResponse, recordSuccess } from './instance.js'
export type { Instance, InstanceDescription, PendingPrefill } from './instance.js'
export { InstanceRegistry } from './registry.js'
export type { ParseInstance, RegistryOptions } from './registry.js'
