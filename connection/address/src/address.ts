import { isIP } from 'node:net'

const maxPort = 65535
const maxHostNameLength = 253
const hostNamePattern = /^[0-9a-zA-Z]([0-9a-zA-Z.-]*[0-9a-zA-Z])?$/
/// Of IPv4 addresses; 0 stands for this network, those above for groups of machines or nothing.
const minUnicastOctet = 1
const maxUnicastOctet = 223

/// Whether the text is HOST:PORT, with a host name or an IPv4 address and a port. The host is the same in a URL, in
/// which text such as 127.1, 0x7f.0.0.1 or 10.0.0.0x100 is a number, and valid or not.
export function isAddress (text: string): boolean {
  const colon = text.lastIndexOf(':')
  return colon > 0 && isHost(text.slice(0, colon)) && isPort(text.slice(colon + 1))
}

/// Whether the text is HOST:PORT with the IPv4 address of one machine, which needs no name lookup.
export function isUnicastAddress (text: string): boolean {
  if (!isAddress(text)) return false
  const [host] = splitAddress(text)
  const firstOctet = Number.parseInt(host, 10)
  return isIP(host) === 4 && firstOctet >= minUnicastOctet && firstOctet <= maxUnicastOctet
}

/// Splits HOST:PORT.
export function splitAddress (address: string): [string, number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}

function isHost (host: string): boolean {
  if (isIP(host) === 4) return true
  if (host.length > maxHostNameLength || !hostNamePattern.test(host)) return false
  const url = `http://${host}`
  return URL.canParse(url) && new URL(url).hostname === host.toLowerCase()
}

function isPort (text: string): boolean {
  return /^[1-9]\d{0,4}$/.test(text) && Number(text) <= maxPort
}
