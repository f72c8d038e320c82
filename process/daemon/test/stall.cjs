// Loaded before the program. Holds the event loop while the file `stall` beside the settings file says for how many
// milliseconds, once, and says so on standard error.
const fs = require('node:fs')
const path = require('node:path')

const file = path.join(path.dirname(process.env.CHICORYNOTCH_CONFIG), 'stall')
const { readFileSync } = fs
const pollIntervalMs = 20

function stall () {
  let holdMs = 0
  try {
    holdMs = Number(readFileSync(file, 'utf8'))
    fs.unlinkSync(file)
  } catch {
    return
  }
  fs.writeSync(2, 'held\n')
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, holdMs)
}

// While the program is loaded, after it has its handlers of signals.
fs.readFileSync = (name, ...rest) => {
  if (String(name).endsWith('daemon.cjs')) stall()
  return readFileSync(name, ...rest)
}
setInterval(stall, pollIntervalMs).unref()
