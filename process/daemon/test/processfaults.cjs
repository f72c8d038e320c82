// Loaded before the daemon. PROCESS_FAULT names what goes wrong in the process.
const fs = require('node:fs')
const { syncBuiltinESMExports } = require('node:module')
const net = require('node:net')

const hang = () => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0)

const faults = {
  'held-start': () => { net.Server.prototype.listen = hang },
  'held-stop': () => { net.Server.prototype.close = hang },
  'unsyncable-disk': () => {
    fs.fsyncSync = () => { throw new Error('EIO: i/o error, fsync') }
    syncBuiltinESMExports()
  },
  // The sync of what a start reads passes.
  'failing-disk': () => {
    const { fdatasyncSync } = fs
    let calls = 0
    fs.fdatasyncSync = file => {
      if (calls++ > 0) throw new Error('EIO: i/o error, fdatasync')
      fdatasyncSync(file)
    }
    syncBuiltinESMExports()
  }
}

faults[process.env.PROCESS_FAULT]?.()
