export { sleep } from './sleep.js'
export { LoopMonitor, readCpuMs } from './loopmonitor.js'
export type { LoopBacklog, LoopMonitorOptions, ProcessLoad } from './loopmonitor.js'
