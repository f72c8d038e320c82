import rules from './eslint.config.js'

const isLayout = (name) => name.startsWith('@stylistic/')

/// The formatter's check: only the layout rules of eslint.config.js.
export default rules.map((part) => part.rules === undefined
  ? part
  : { ...part, rules: Object.fromEntries(Object.entries(part.rules).filter(([name]) => isLayout(name))) })
