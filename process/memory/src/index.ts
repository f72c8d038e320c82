export { ByteCollector } from './bytecollector.js'
export { MemoryBudget, MemoryShare } from './memorybudget.js'
export { planMemory } from './memoryplan.js'
export type { MemoryPlan } from './memoryplan.js'
