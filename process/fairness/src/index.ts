export { DecayingCount } from './decayingcount.js'
export { FairShares, Standing } from './fairshares.js'
