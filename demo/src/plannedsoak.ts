import { rmSync } from 'node:fs'
import { mkdir, mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { DisturbanceGroup, runSoak } from '#standin/soak'
import { buildMachine } from '#standin/system'
import { exitAtSignals } from './signals.js'

// Runs the soak of planned work with one seed after the other: npm run soak:planned -- [FIRST_SEED [SEEDS [SECONDS]]]
// Prints what broke a rule; with LINES=1 the log lines about it, too. With LOGS=FOLDER everything that the processes
// of a run with findings have written is kept there.
// CALLERS, ENTRIES and ENGINES say how many of them a run has. SHARE=0.5 gives each entry half a processor, and
// STORAGE_SHARE each storage instance. MEMORY=350,390 says how many MB an entry and a storage instance may use. With
// ALONE=1 callers send one request after the other.
// DESCRIPTORS=100 says how many descriptors each process may have open.
// What disturbs a run, each with =1: the groups of `DisturbanceGroup` by their names in capitals (TROUBLE, CHANGES,
// FAULTY, POWER, CUTS, DISKS, WORKERS, REUSE, FREEZES, BURSTS); END, all processes are killed at the end, and turns are
// gone on from after that.

const [firstSeed = 1, seeds = 1, durationS = 30] = process.argv.slice(2).map(Number)
const [entryMb, storageMb] = process.env.MEMORY?.split(',').map(Number) ?? []
const graceMs = 8000
const bundle = 'target/chicorynotchd.cjs'
const isOn = (name: string): boolean => process.env[name] === '1'
const groups = Object.values(DisturbanceGroup).filter(group => isOn(group.toUpperCase()))
const { power, cuts, disks } = DisturbanceGroup
const machineGroups: readonly DisturbanceGroup[] = [power, cuts, disks]
const hasMachines = groups.some(group => machineGroups.includes(group))
const { SHARE, STORAGE_SHARE, DESCRIPTORS } = process.env

/// Returns the program and arguments that start the daemon.
async function prepareCommand (): Promise<readonly string[]> {
  if (!hasMachines) return [process.execPath, bundle]
  const folder = await mkdtemp(join(tmpdir(), 'chicorynotch-machine-'))
  process.once('exit', () => rmSync(folder, { recursive: true, force: true }))
  return await buildMachine(folder, bundle)
}

exitAtSignals()
const command = await prepareCommand()

let findingCount = 0
for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
  const { attempts, statuses, disturbances, findings, breaches, reached, endsAtBoot, lines, logs } = await runSoak({
    command,
    seed,
    durationMs: durationS * 1000,
    callers: Number(process.env.CALLERS ?? 60),
    entries: Number(process.env.ENTRIES ?? 4),
    engines: Number(process.env.ENGINES ?? 3),
    graceMs,
    groups,
    sendsBatches: !isOn('ALONE'),
    hasFinalFault: isOn('END'),
    hasMachines,
    ...SHARE === undefined ? {} : { entryShare: Number(SHARE) },
    ...STORAGE_SHARE === undefined ? {} : { storageShare: Number(STORAGE_SHARE) },
    ...DESCRIPTORS === undefined ? {} : { descriptors: Number(DESCRIPTORS) },
    ...entryMb === undefined || storageMb === undefined ? {} : { memoryMb: { entry: entryMb, storage: storageMb } }
  })
  findingCount += findings.length
  process.stdout.write(`seed ${seed}: ${attempts} attempts, by status ${JSON.stringify(statuses)}, first turns reached ${reached.first}, further ${reached.further}, ${disturbances.length} disturbances, ended at boot ${JSON.stringify(endsAtBoot)}, ${findings.length} findings\n`)
  for (const breach of breaches) process.stdout.write(`  broken: ${breach}\n`)
  for (const { rule, text } of findings) process.stdout.write(`  ${rule}: ${text}\n`)
  if (process.env.LINES === '1') for (const line of lines) process.stdout.write(`    ${line}\n`)
  if (process.env.LOGS === undefined || findings.length === 0) continue
  await mkdir(process.env.LOGS, { recursive: true })
  await writeFile(join(process.env.LOGS, `${seed}-disturbances.log`), `${disturbances.join('\n')}\n`)
  for (const [name, log] of Object.entries(logs)) await writeFile(join(process.env.LOGS, `${seed}-${name}.log`), `${log.join('\n')}\n`)
}
process.exit(findingCount === 0 ? 0 : 1)
