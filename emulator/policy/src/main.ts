import { comparePolicies } from './compare.js'

const [command, seed = '1', selection] = process.argv.slice(2)

if (command !== 'policy') {
  process.stderr.write('usage: npm run bench -- policy [SEED [SCENARIO]]\n')
  process.exit(2)
}
process.stdout.write(`${await comparePolicies(Number(seed), selection ?? null)}\n`)
