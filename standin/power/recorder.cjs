/// Lets a process suffer a loss of power. Loaded before the program with `--require`, it writes down, in the file
/// `FOLDER.power` beside a data folder, what is synced there, and moves removed files to `FOLDER.removed`. Once the
/// process has been killed, `losePower` of `#standin/power` takes back from the folder what a loss of power may:
///
///     nodeArguments: ['--require', resolve('standin/power/recorder.cjs')]
///     node.process.kill('SIGKILL'), and after its exit: losePower(node.dataDir, random)
///
/// A test that runs the program's modules in its own process requires this file before it uses them, and may cut the
/// power at a chosen write, sync or change of a name with `cutAfter`.
'use strict'

const fs = require('node:fs')
const { syncBuiltinESMExports } = require('node:module')
const path = require('node:path')

/// The files of a storage instance that must survive. Others are left alone.
const namePattern = /^(segment-\d+|view-\d+|(identity|first-start)(\.new)?)$/
const creatingFlags = new Set(['w', 'wx'])
const { closeSync, existsSync, fstatSync, mkdirSync, openSync, readFileSync, renameSync, unlinkSync, writeSync } = fs
const real = { fsync: fs.fsync, fdatasync: fs.fdatasync, fsyncSync: fs.fsyncSync, fdatasyncSync: fs.fdatasyncSync }

/// Paths of open files and folders by descriptor.
const openPaths = new Map()
/// Journals by folder.
const journals = new Map()
let remainingSteps = Infinity
let skipsSyncs = false
/// Counts the calls of `cutAfter`.
let lifeCount = 0

class PowerLostError extends Error {}

/// What happened to one folder, one JSON object a line.
class Journal {
  constructor (folder) {
    const file = `${folder}.power`
    this.length = existsSync(file) ? readFileSync(file, 'utf8').split('\n').length - 1 : 0
    this.descriptor = openSync(file, 'a')
  }

  add (entry) {
    writeSync(this.descriptor, `${JSON.stringify(entry)}\n`)
    this.length++
  }
}

function openJournal (folder) {
  if (!journals.has(folder)) journals.set(folder, new Journal(folder))
  return journals.get(folder)
}

function isRecorded (file) {
  return namePattern.test(path.basename(String(file)))
}

function record (file, entry) {
  openJournal(path.dirname(String(file))).add({ name: path.basename(String(file)), ...entry })
}

/// Fails from the step on at which the power is cut.
function step () {
  if (remainingSteps <= 0) throw new PowerLostError('the power is lost')
  remainingSteps--
}

/// Returns what records the end of a sync that begins now, or null for other files.
function beginSync (descriptor) {
  const place = openPaths.get(descriptor)
  if (place === undefined) return null
  step()
  if (!isRecorded(place)) {
    const { length } = openJournal(place)
    return () => openJournal(place).add({ op: 'syncFolder', covered: length })
  }
  const { size } = fstatSync(descriptor)
  return () => record(place, { op: 'sync', size })
}

function wrapSync (sync) {
  return descriptor => {
    const end = beginSync(descriptor)
    if (!skipsSyncs) sync(descriptor)
    end?.()
  }
}

function wrapAsyncSync (sync) {
  return (descriptor, callback) => {
    const end = beginSync(descriptor)
    const life = lifeCount
    const finish = error => {
      if (error === null && remainingSteps > 0 && life === lifeCount) end?.()
      callback(remainingSteps > 0 ? error : new PowerLostError('the power is lost'))
    }
    if (skipsSyncs) setImmediate(finish, null)
    else sync(descriptor, finish)
  }
}

Object.assign(fs, {
  openSync (file, flags, ...rest) {
    const isCreating = isRecorded(file) && creatingFlags.has(flags)
    if (isCreating) {
      step()
      if (flags === 'w' || !existsSync(file)) record(file, { op: existsSync(file) ? 'truncate' : 'create' })
    }
    const descriptor = openSync(file, flags, ...rest)
    const isFolder = flags === 'r' && fstatSync(descriptor).isDirectory()
    if (isRecorded(file) || isFolder) openPaths.set(descriptor, String(file))
    return descriptor
  },
  closeSync (descriptor) {
    openPaths.delete(descriptor)
    closeSync(descriptor)
  },
  writeSync (descriptor, ...rest) {
    if (openPaths.has(descriptor)) step()
    return writeSync(descriptor, ...rest)
  },
  renameSync (from, to) {
    if (isRecorded(from)) {
      step()
      record(from, { op: 'rename', to: path.basename(String(to)) })
    }
    renameSync(from, to)
  },
  unlinkSync (file) {
    if (!isRecorded(file) || !journals.has(path.dirname(String(file)))) return unlinkSync(file)
    step()
    const folder = `${path.dirname(String(file))}.removed`
    mkdirSync(folder, { recursive: true })
    record(file, { op: 'remove' })
    renameSync(file, path.join(folder, path.basename(String(file))))
  },
  fsyncSync: wrapSync(real.fsyncSync),
  fdatasyncSync: wrapSync(real.fdatasyncSync),
  fsync: wrapAsyncSync(real.fsync),
  fdatasync: wrapAsyncSync(real.fdatasync)
})
syncBuiltinESMExports()

/// Syncs are only recorded from now on, which is faster and makes no difference to `losePower`.
exports.skipSyncs = () => { skipsSyncs = true }

/// Cuts the power after so many further writes, syncs and changes of names: all later ones fail without effect.
/// `Infinity` ends a cut. What was recorded is on its journal's file, and nothing is recorded until the next new file.
exports.cutAfter = steps => {
  remainingSteps = steps
  // What is still under way has ended with its process.
  lifeCount++
  for (const { descriptor } of journals.values()) closeSync(descriptor)
  journals.clear()
}
