import rules from './eslint.config.js'

const isLayout = (name) => name.startsWith('@stylistic/')

/// Only the layout rules of eslint.config.js, for the format check.
export default rules.map((config) => config.rules === undefined
  ? config
  : { ...config, rules: Object.fromEntries(Object.entries(config.rules).filter(([name]) => isLayout(name))) })
