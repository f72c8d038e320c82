type HeaderFields = Iterable<readonly [name: string, value: string]>

/// RFC 9110, section 5.6.2.
const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
/// RFC 9110, section 5.5: visible characters, space, tab and the bytes from 0x80 on.
const valuePattern = /^[\t\x20-\x7e\u0080-\uffff]*$/
const lengthPattern = /^[0-9]{1,15}$/
/// Printable ASCII without spaces.
const targetPattern = /^[\x21-\x7e]+$/
const hostPattern = /^[A-Za-z0-9\-._~!$&'()*+,;=%:[\]]*$/
const httpVersions = ['1.0', '1.1']
const minStatus = 100
const maxStatus = 599

/// RFC 9110, section 5.5, without the bytes from 0x80 on, which the two ends may decode differently.
const portableValuePattern = /^[\x21-\x7e]([\t\x20-\x7e]*[\x21-\x7e])?$/

/// The parts of a request's head that decide where it ends and whom it is for.
export interface ReceivedRequest {
  readonly httpVersion: string
  readonly target: string
  /// Names and values alternating, as they were received.
  readonly rawHeaders: readonly string[]
}

/// Returns why the head of a request is not valid HTTP, or null if it is. Parsers differ in what they accept; a request
/// that two of them read differently can hide another one.
export function findRequestProblem ({ httpVersion, target, rawHeaders }: ReceivedRequest): string | null {
  if (!httpVersions.includes(httpVersion)) return `HTTP version ${httpVersion}`
  if (!targetPattern.test(target)) return 'invalid request target'
  const fields = pairUp(rawHeaders)
  const problem = findFieldsProblem(fields)
  if (problem !== null) return problem
  if (httpVersion === '1.0' && hasField(fields, 'transfer-encoding')) return 'transfer encoding in HTTP/1.0'
  const hosts = fields.filter(([name]) => name.toLowerCase() === 'host')
  if (hosts.length !== 1) return `${hosts.length} host fields`
  return hostPattern.test(hosts[0]![1]) ? null : 'invalid host'
}

/// Returns why the head of a response is not valid HTTP, or null if it is.
export function findResponseHeadProblem (
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>
): string | null {
  if (status < minStatus || status > maxStatus) return `status ${status}`
  return findFieldsProblem(Object.entries(headers).flatMap(([name, value]) => {
    return [value ?? []].flat().map((single): [string, string] => [name, single])
  }))
}

/// Names, values, and that the fields name at most one end of the body.
function findFieldsProblem (fields: HeaderFields): string | null {
  let lengths = 0
  let codings = 0
  for (const [name, value] of fields) {
    if (!tokenPattern.test(name)) return 'invalid field name'
    if (!valuePattern.test(value)) return 'invalid field value'
    const lowerCaseName = name.toLowerCase()
    if (lowerCaseName === 'content-length') {
      lengths++
      if (!lengthPattern.test(value)) return 'invalid content length'
    } else if (lowerCaseName === 'transfer-encoding') {
      codings++
      if (value.toLowerCase() !== 'chunked') return 'unknown transfer coding'
    }
  }
  return lengths + codings > 1 ? 'more than one content length or transfer encoding' : null
}

/// Whether a header field can hold the text so that its receiver reads the same: printable ASCII, without white space
/// at either end.
export function isPortableFieldValue (text: string): boolean {
  return portableValuePattern.test(text)
}

function pairUp (rawHeaders: readonly string[]): [string, string][] {
  const fields: [string, string][] = []
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) fields.push([rawHeaders[i]!, rawHeaders[i + 1]!])
  return fields
}

function hasField (fields: readonly (readonly [string, string])[], name: string): boolean {
  return fields.some(([received]) => received.toLowerCase() === name)
}
