import { crc32 } from 'node:zlib'
import { LedgerRecord } from '#connection/rpc'

export const frameHeaderBytes = 8
const maxRecordBytes = 64 * 1024 * 1024

/// Encodes a record as stored on disk: length and CRC-32, 4 bytes each, then the protobuf message.
export function encodeFrame (record: LedgerRecord): [Buffer, Buffer] {
  const message = LedgerRecord.encode(record).finish()
  const body = Buffer.from(message.buffer, message.byteOffset, message.length)
  const header = Buffer.allocUnsafe(frameHeaderBytes)
  header.writeUInt32LE(body.length, 0)
  header.writeUInt32LE(crc32(body), 4)
  return [header, body]
}

/// Decodes the record of a whole frame. Throws if the frame is corrupt.
export function decodeFrame (frame: Buffer): LedgerRecord {
  const body = frame.subarray(frameHeaderBytes)
  if (body.length !== frame.readUInt32LE(0) || crc32(body) !== frame.readUInt32LE(4)) throw new Error('corrupt frame')
  return LedgerRecord.decode(body)
}

/// Calls `visit` with the message of each record before the first torn or corrupt frame, and the frame's offset.
/// Returns the encoded size of these records.
export function scanFrames (bytes: Buffer, visit: (body: Buffer, offset: number) => void): number {
  let offset = 0
  while (offset + frameHeaderBytes <= bytes.length) {
    const length = bytes.readUInt32LE(offset)
    const start = offset + frameHeaderBytes
    const end = start + length
    if (length === 0 || length > maxRecordBytes || end > bytes.length) break
    const body = bytes.subarray(start, end)
    if (crc32(body) !== bytes.readUInt32LE(offset + 4)) break
    visit(body, offset)
    offset = end
  }
  return offset
}

/// Decodes the records before the first torn or corrupt frame. `validBytes` is their encoded size.
export function decodeFrames (bytes: Buffer): { records: LedgerRecord[], validBytes: number } {
  const records: LedgerRecord[] = []
  const validBytes = scanFrames(bytes, body => records.push(LedgerRecord.decode(body)))
  return { records, validBytes }
}
