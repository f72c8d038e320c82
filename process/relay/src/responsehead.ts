export const statusBadGateway = 502

/// What the other entry answers where it can't read a request: what follows may be no request.
const rejectionStatuses: ReadonlySet<string> = new Set(['400', '408', '431', '501'])
const headEnd = '\r\n\r\n'
/// Where the status lies in a head.
const statusStart = 'HTTP/1.1 '.length
const statusEnd = statusStart + 3

/// Returns a response without a body. `isLast`: the connection ends with it.
export function formatBadGateway (isLast: boolean): string {
  return `HTTP/1.1 ${statusBadGateway} Bad Gateway\r\n${isLast ? 'connection: close\r\n' : ''}content-length: 0\r\n\r\n`
}

/// Returns the length of the head of the response with which the bytes begin, null if it isn't complete.
export function findHeadLength (bytes: Buffer): number | null {
  const at = bytes.indexOf(headEnd)
  return at < 0 ? null : at + headEnd.length
}

/// Whether the bytes begin with an interim response (RFC 9110, section 15.2): another one follows it.
export function isInterim (bytes: Buffer): boolean {
  return bytes[statusStart] === 0x31
}

/// Returns bytes that begin with a response without its field `Connection: close`, null if it isn't there. It stays on
/// rejections and on a response that ends with its connection.
export function withoutClose (bytes: Buffer): Buffer | null {
  const length = findHeadLength(bytes) ?? 0
  const head = bytes.toString('latin1', 0, length)
  if (rejectionStatuses.has(head.slice(statusStart, statusEnd))) return null
  if (!/^(?:content-length|transfer-encoding):/im.test(head)) return null
  const kept = head.replace(/\r\nconnection:[ \t]*close[ \t]*(?=\r\n)/i, '')
  return kept === head ? null : Buffer.concat([Buffer.from(kept, 'latin1'), bytes.subarray(length)])
}
