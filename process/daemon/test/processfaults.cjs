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
  'failing-disk': () => {
    const { listen } = net.Server.prototype
    net.Server.prototype.listen = function (...args) {
      fs.fdatasyncSync = () => { throw new Error('EIO: i/o error, fdatasync') }
      syncBuiltinESMExports()
      return listen.apply(this, args)
    }
  }
}

faults[process.env.PROCESS_FAULT]?.()
