import { comparePolicies } from './compare.js'

const [what, seed = '1'] = process.argv.slice(2)

if (what !== 'policy') {
  process.stderr.write('usage: npm run bench -- policy [SEED]\n')
  process.exit(2)
}
process.stdout.write(`${await comparePolicies(Number(seed))}\n`)
