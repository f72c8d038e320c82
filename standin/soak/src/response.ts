/// The status of bytes that are no response.
export const noStatus = -1

/// A response at the start of what a connection has received.
export interface ParsedResponse {
  /// 0 without a whole head.
  readonly status: number
  readonly body: string
  /// Whether the response is complete as its head says.
  readonly isComplete: boolean
  /// Whether its head says that the connection ends after it.
  readonly isLast: boolean
  readonly retryAfterS: number | null
  /// Characters that the response takes up, with the interim ones before it.
  readonly length: number
}

const nothing: ParsedResponse = { status: 0, body: '', isComplete: false, isLast: false, retryAfterS: null, length: 0 }

/// Parses the first final response in `received`. `isEnded` says that nothing follows.
export function parseResponse (received: string, isEnded: boolean): ParsedResponse {
  const headEnd = received.indexOf('\r\n\r\n')
  if (headEnd < 0) return nothing
  const head = received.slice(0, headEnd + 2)
  const bodyStart = headEnd + 4
  const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1] ?? noStatus)
  const rest = received.slice(bodyStart)
  if (status === noStatus) return { ...nothing, status, body: received, isComplete: isEnded, isLast: true }
  if (status < 200) return addLength(parseResponse(rest, isEnded), bodyStart)
  const length = /^content-length: (\d+)\r$/im.exec(head)
  const isChunked = /^transfer-encoding: chunked\r$/im.test(head)
  const retryAfter = /^retry-after: ([\d.]+)\r$/im.exec(head)
  const common = {
    status,
    isLast: /^connection: close\r$/im.test(head),
    retryAfterS: retryAfter === null ? null : Number(retryAfter[1])
  }
  if (length !== null) return { ...common, ...addLength(takeLength(rest, Number(length[1])), bodyStart) }
  if (isChunked) return { ...common, ...addLength(joinChunks(rest), bodyStart) }
  return { ...common, isLast: true, body: rest, isComplete: isEnded, length: received.length }
}

type ParsedBody = Pick<ParsedResponse, 'body' | 'isComplete' | 'length'>

function addLength<Part extends { readonly length: number }> (part: Part, length: number): Part {
  return { ...part, length: part.length + length }
}

function takeLength (text: string, length: number): ParsedBody {
  return { body: text.slice(0, length), isComplete: text.length >= length, length }
}

function joinChunks (text: string): ParsedBody {
  let body = ''
  for (let at = 0; ;) {
    const lineEnd = text.indexOf('\r\n', at)
    if (lineEnd < 0) return { body, isComplete: false, length: text.length }
    const size = Number.parseInt(text.slice(at, lineEnd), 16)
    if (size === 0) return { body, isComplete: text.startsWith('\r\n', lineEnd + 2), length: lineEnd + 4 }
    body += text.slice(lineEnd + 2, lineEnd + 2 + size)
    at = lineEnd + 2 + size + 2
  }
}
