import { setImmediate as nextIteration, setTimeout as sleep } from 'node:timers/promises'
import type { Socket } from 'node:net'
import { open } from './rawcaller.js'

/// The largest body that the configuration allows.
export const maxBodyBytes = 4 * 1024 * 1024
/// The largest head that the configuration allows.
const maxHeadBytes = 16_384

/// Where the callers of a crowd send their requests.
export interface Place {
  readonly address: string
  readonly path: string
  /// Sent before the first request.
  readonly opening: string
}

/// What one caller sends. Resolves when it has sent all that it sends by itself; its connection stays open.
export type Behaviour = (socket: Socket, place: Place, index: number) => Promise<void>

/// A crowd that isn't read on, or slowly, doesn't get on either, and is not waited for any longer.
const maxSendingMs = 3000

/// Opens the connections of a crowd, each of which then behaves in the same way, and waits until all have sent what
/// they send, or their connections are closed, for a while at most.
export async function gather (place: Place, count: number, behave: Behaviour): Promise<Socket[]> {
  const sockets: Socket[] = []
  const sending = Promise.all(Array.from({ length: count }, async (_, index) => {
    try {
      const socket = await open(place.address)
      sockets.push(socket)
      socket.write(place.opening)
      await behave(socket, place, index)
    } catch {
      // The connection was refused or closed.
    }
  }))
  await Promise.race([sending, sleep(maxSendingMs)])
  return sockets
}

function formatHead ({ path }: Place, index: number, fields: string, method = 'POST'): string {
  return `${method} ${path} HTTP/1.1\r\nhost: demo.example\r\nattempt-id: crowd${index}x${Math.random().toString(36).slice(2)}\r\n` +
    `deadline-ms: 30000\r\n${fields}\r\n`
}

/// Resolves once the socket takes more, or is closed.
async function write (socket: Socket, bytes: Buffer | string): Promise<void> {
  if (socket.destroyed || socket.write(bytes)) return
  await waitForDrain(socket)
}

function waitForDrain (socket: Socket): Promise<void> {
  return new Promise(resolve => {
    socket.once('drain', resolve)
    socket.once('close', resolve)
  })
}

/// Every eighth body is completed, the others stop one byte short of their end.
const missingBytes = (index: number): number => index % 8 === 0 ? 0 : 1

const jsonFields = 'content-type: application/json\r\n'

async function sendWholeBody (socket: Socket, place: Place, index: number): Promise<void> {
  socket.resume()
  socket.write(formatHead(place, index, `${jsonFields}content-length: ${maxBodyBytes}\r\n`))
  await write(socket, Buffer.alloc(maxBodyBytes - missingBytes(index), '['))
}

async function sendPieces (socket: Socket, place: Place, index: number): Promise<void> {
  const pieceBytes = 2048
  socket.resume().setNoDelay(true)
  socket.write(formatHead(place, index, `${jsonFields}content-length: ${maxBodyBytes}\r\n`))
  const lastAt = maxBodyBytes - pieceBytes
  for (let sentBytes = 0; sentBytes < lastAt && !socket.destroyed; sentBytes += pieceBytes) {
    await write(socket, Buffer.alloc(pieceBytes, '['))
    await nextIteration()
  }
  await write(socket, Buffer.alloc(pieceBytes - missingBytes(index), '['))
}

async function sendChunks (socket: Socket, place: Place, index: number): Promise<void> {
  const chunk = `100\r\n${'['.repeat(256)}\r\n`
  const chunksPerWrite = 64
  socket.resume()
  socket.write(formatHead(place, index, `${jsonFields}transfer-encoding: chunked\r\n`))
  for (let i = 0; i < maxBodyBytes / 256 / chunksPerWrite && !socket.destroyed; i++) {
    await write(socket, chunk.repeat(chunksPerWrite))
  }
  if (missingBytes(index) === 0) await write(socket, '0\r\n\r\n')
}

const overLimitBytes = 4 * maxBodyBytes

async function sendTooLong (socket: Socket, place: Place, index: number): Promise<void> {
  socket.resume()
  socket.write(formatHead(place, index, `${jsonFields}content-length: ${1024 * maxBodyBytes}\r\n`))
  for (let sentBytes = 0; sentBytes < overLimitBytes && !socket.destroyed; sentBytes += 65_536) {
    await write(socket, Buffer.alloc(65_536, '['))
  }
}

async function sendEndlessChunks (socket: Socket, place: Place, index: number): Promise<void> {
  socket.resume()
  socket.write(formatHead(place, index, `${jsonFields}transfer-encoding: chunked\r\n`))
  const chunk = Buffer.from(`10000\r\n${'['.repeat(65_536)}\r\n`)
  for (let sentBytes = 0; sentBytes < overLimitBytes && !socket.destroyed; sentBytes += chunk.length) {
    await write(socket, chunk)
  }
}

/// A head of the largest size with as many fields as fit into it, each with a name of its own.
function formatManyFields (place: Place, index: number): string {
  let head = formatHead(place, index, 'content-length: 0\r\n').slice(0, -2)
  for (let i = 0; head.length < maxHeadBytes - 16; i++) head += `${i.toString(36)}:\r\n`
  return `${head}\r\n`
}

async function sendManyFields (socket: Socket, place: Place, index: number): Promise<void> {
  socket.resume()
  for (let i = 0; i < 16 && !socket.destroyed; i++) await write(socket, formatManyFields(place, index))
}

async function sendManyFieldsUnread (socket: Socket, place: Place, index: number): Promise<void> {
  socket.pause()
  for (let i = 0; i < 16 && !socket.destroyed; i++) await write(socket, formatManyFields(place, index))
}

async function pipelineUnread (socket: Socket, place: Place, index: number): Promise<void> {
  socket.pause()
  for (let i = 0; i < 200 && !socket.destroyed; i++) {
    await write(socket, Array.from({ length: 10 }, () => formatHead(place, index, 'content-length: 0\r\n')).join(''))
  }
}

/// The shortest requests, many of which arrive in one piece. They have no call id, and no body: the readiness address
/// serves them, too.
async function pipelineShort (socket: Socket, { path }: Place): Promise<void> {
  socket.pause()
  const request = `GET ${path} HTTP/1.1\r\nhost:a\r\n\r\n`
  for (let i = 0; i < 20 && !socket.destroyed; i++) await write(socket, request.repeat(200))
}

async function stopWithinHead (socket: Socket, place: Place, index: number): Promise<void> {
  socket.resume()
  socket.write(formatManyFields(place, index).slice(0, -4))
}

async function stopWithinBody (socket: Socket, place: Place, index: number): Promise<void> {
  socket.resume()
  socket.write(formatHead(place, index, `${jsonFields}content-length: 65536\r\n`) + '['.repeat(32_768))
}

async function sendNothing (socket: Socket): Promise<void> {
  socket.resume()
}

async function sendSlowly (socket: Socket, place: Place, index: number): Promise<void> {
  socket.resume()
  const bytes = formatHead(place, index, `${jsonFields}content-length: 65536\r\n`)
  socket.write(bytes)
  for (let i = 0; i < 60 && !socket.destroyed; i++) {
    await write(socket, '[')
    await sleep(50)
  }
}

/// One request after the other, of each response a few bytes.
async function readSlowly (socket: Socket, place: Place, index: number): Promise<void> {
  socket.pause()
  for (let i = 0; i < 20 && !socket.destroyed; i++) {
    socket.write(formatHead(place, index, 'content-length: 0\r\n'))
    socket.read(16)
    await sleep(50)
  }
}

const crowdCount = 48
/// More than the descriptors of the process.
const largeCrowdCount = 300

/// How each kind of caller behaves, and how many there are.
export const behaviours: Readonly<Record<string, readonly [Behaviour, number]>> = {
  'the largest bodies, each in one piece, most without their end': [sendWholeBody, crowdCount],
  'the largest bodies in small pieces, most without their end': [sendPieces, crowdCount],
  'the largest bodies in chunks, most without their end': [sendChunks, crowdCount],
  'bodies far over the limit': [sendTooLong, crowdCount],
  'chunked bodies far over the limit': [sendEndlessChunks, crowdCount],
  'heads of very many fields': [sendManyFields, crowdCount],
  'pipelined heads of very many fields, without reading the responses': [sendManyFieldsUnread, crowdCount],
  'pipelined requests, without reading the responses': [pipelineUnread, crowdCount],
  'the shortest requests, pipelined, without reading the responses': [pipelineShort, crowdCount],
  'a part of a head': [stopWithinHead, largeCrowdCount],
  'a part of a body': [stopWithinBody, largeCrowdCount],
  nothing: [sendNothing, largeCrowdCount],
  'a body byte by byte': [sendSlowly, largeCrowdCount],
  'requests, and read the responses slowly': [readSlowly, largeCrowdCount]
}
