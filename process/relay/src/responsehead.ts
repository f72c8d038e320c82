export const statusBadGateway = 502

/// Returns a response without a body. `isLast`: the connection ends with it.
export function formatBadGateway (isLast: boolean): string {
  return `HTTP/1.1 ${statusBadGateway} Bad Gateway\r\n${isLast ? 'connection: close\r\n' : ''}content-length: 0\r\n\r\n`
}

/// Returns a chunk that begins with a response without its field `Connection: close`, null if the field isn't there.
export function withoutClose (chunk: Buffer): Buffer | null {
  const headEnd = chunk.indexOf('\r\n\r\n')
  const head = chunk.toString('latin1', 0, Math.max(0, headEnd))
  const kept = head.replace(/\r\nconnection:[ \t]*close[ \t]*(?=\r\n|$)/i, '')
  if (!head.startsWith('HTTP/') || kept === head) return null
  return Buffer.concat([Buffer.from(kept, 'latin1'), chunk.subarray(headEnd)])
}
