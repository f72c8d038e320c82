export { getLaunchReport, setLaunchReport } from './launchreport.js'
export type { LaunchReport } from './launchreport.js'
