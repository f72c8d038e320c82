import type { Random } from './random.js'

/// A part of a request as it is written to the connection.
export interface RequestPiece {
  /// Time that the caller waits before it writes the piece.
  readonly pauseMs: number
  /// Whether it waits so long for an interim response at most, and not in any case.
  readonly awaitsContinue?: boolean
  readonly bytes: string
}

/// A request before it is written in one of the ways.
export interface PlainRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly fields: readonly string[]
  readonly body: string
}

/// The ways in which a caller may send a request.
export const SendingWay = {
  plain: 'plain',
  /// With a pause inside the body.
  pieces: 'pieces',
  /// With a pause inside the head.
  splitHead: 'split-head',
  /// After an empty line, which servers ignore.
  blankLine: 'blank-line',
  chunked: 'chunked',
  trailers: 'trailers',
  /// The body follows when the entry has said that it waits for it.
  expectContinue: 'expect-continue',
  /// The request asks that the connection be closed after its response.
  closing: 'closing'
} as const

export type SendingWay = typeof SendingWay[keyof typeof SendingWay]

type Writer = (request: PlainRequest, pauseMs: number) => RequestPiece[]

const maxPauseMs = 300
const maxContinueMs = 300

const writers: Readonly<Record<SendingWay, Writer>> = {
  plain: request => [piece(formatHead(request, lengthFields(request)) + request.body)],
  pieces: (request, pauseMs) => {
    const [first, second] = halve(request.body)
    return [piece(formatHead(request, lengthFields(request)) + first), piece(second, pauseMs)]
  },
  'split-head': (request, pauseMs) => {
    const [first, second] = halve(formatHead(request, lengthFields(request)))
    return [piece(first), piece(second + request.body, pauseMs)]
  },
  'blank-line': request => [piece(`\r\n${formatHead(request, lengthFields(request))}${request.body}`)],
  chunked: (request, pauseMs) => writeChunks(request, pauseMs, [], ''),
  trailers: (request, pauseMs) => writeChunks(request, pauseMs, ['trailer: x-checked'], 'x-checked: 1\r\n'),
  'expect-continue': request => [
    piece(formatHead(request, [...lengthFields(request), 'expect: 100-continue'])),
    { pauseMs: maxContinueMs, awaitsContinue: true, bytes: request.body }
  ],
  closing: request => [piece(formatHead(request, [...lengthFields(request), 'connection: close']) + request.body)]
}

const waysWithBody = Object.values(SendingWay)
const waysWithoutBody = [SendingWay.plain, SendingWay.splitHead, SendingWay.blankLine, SendingWay.closing]
/// Requests that are sent in the plain way.
const plainShare = 0.4
/// Requests before others on their connection don't ask that it be closed.
const waysBeforeOthers = (way: SendingWay): boolean => way !== SendingWay.closing && way !== SendingWay.expectContinue

/// Chooses a way to send a request. One that `isFollowed` by others at once doesn't end the connection.
export function chooseWay (random: Random, { body }: PlainRequest, isFollowed: boolean): SendingWay {
  if (random.next() < plainShare) return SendingWay.plain
  const ways = body === '' ? waysWithoutBody : waysWithBody
  return random.pick(isFollowed ? ways.filter(waysBeforeOthers) : ways)
}

/// Writes a request as pieces, whose pauses follow from the seed.
export function writeRequest (random: Random, request: PlainRequest, way: SendingWay): readonly RequestPiece[] {
  return writers[way](request, random.between(0, maxPauseMs)).filter(({ bytes }) => bytes !== '')
}

function piece (bytes: string, pauseMs = 0): RequestPiece {
  return { bytes, pauseMs }
}

function formatHead ({ method, path, fields }: PlainRequest, others: readonly string[]): string {
  return `${[`${method} ${path} HTTP/1.1`, ...fields, ...others].join('\r\n')}\r\n\r\n`
}

function lengthFields ({ method, body }: PlainRequest): string[] {
  return method === 'GET' ? [] : [`content-length: ${body.length}`]
}

function halve (text: string): [string, string] {
  const half = Math.floor(text.length / 2)
  return [text.slice(0, half), text.slice(half)]
}

function writeChunks (
  request: PlainRequest, pauseMs: number, fields: readonly string[], trailer: string
): RequestPiece[] {
  const parts = halve(request.body).filter(part => part !== '')
  const chunks = parts.map(part => `${part.length.toString(16)}\r\n${part}\r\n`)
  const head = formatHead(request, ['transfer-encoding: chunked', ...fields])
  return [piece(head + chunks[0]!), piece(`${chunks.slice(1).join('')}0\r\n${trailer}\r\n`, pauseMs)]
}
