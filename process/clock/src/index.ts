export { sleep } from './sleep.js'
export { LoopMonitor, readCpuMs } from './loopmonitor.js'
export type { LoopMonitorOptions, ProcessLoad } from './loopmonitor.js'
