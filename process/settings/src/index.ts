export { Role, SettingsError, parseSettings } from './settings.js'
export type { Settings } from './settings.js'
