// Loaded before the program. Holds the process for a while when it reads the file, or listens on the port, that the file
// `gate` beside its settings file names, and says so on standard error.
const fs = require('node:fs')
const net = require('node:net')
const path = require('node:path')

const holdMs = 400
const folder = path.dirname(process.env.CHICORYNOTCH_CONFIG)
const gate = readGate()

function readGate () {
  try {
    return fs.readFileSync(path.join(folder, 'gate'), 'utf8')
  } catch {
    return ''
  }
}

function hold (place) {
  if (gate === '' || !place.endsWith(gate)) return
  fs.writeSync(2, `held at ${gate}\n`)
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, holdMs)
}

const { readFileSync } = fs
fs.readFileSync = (file, ...rest) => {
  hold(String(file))
  return readFileSync(file, ...rest)
}

const { listen } = net.Server.prototype
net.Server.prototype.listen = function (options, ...rest) {
  hold(`:${options?.port}`)
  return listen.call(this, options, ...rest)
}
