import { connect } from 'node:net'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { isAddress, isUnicastAddress, splitAddress } from '#connection/address'
import { InstanceClient } from '#connection/upstream'

test.each([
  ['10.0.0.1:80', true],
  ['entry-1.example:65535', true],
  ['10.0.0.1:70000', false],
  ['10.0.0.1:0', false],
  ['10.0.0.1:080', false],
  ['10.0.0.1:', false],
  ['10.0.0.1', false],
  ['999.1.1.1:80', false],
  ['10.0.0.1:80 ', false],
  ['a/b:80', false],
  ['user@host:80', false],
  [':80', false],
  // A URL reads hosts that end in a number as IPv4 addresses, in any base and with parts left out, or not at all.
  ['127.0.0.0x100:8080', false],
  ['0x7f.0.0.1:80', false],
  ['127.1:80', false],
  ['2130706433:80', false],
  ['node.12:8080', false],
  ['xn--a.example:80', false],
  ['entry-1.example.:80', false],
  [`${'a'.repeat(254)}:80`, false]
])('%s is an address: %s', (text, expected) => {
  expect(isAddress(text)).toBe(expected)
})

test('an address is split into host and port', () => {
  expect(splitAddress('10.0.0.1:80')).toEqual(['10.0.0.1', 80])
})

test.each([
  ['10.0.0.1:80', true],
  ['223.255.255.254:80', true],
  ['entry-1.example:80', false],
  ['0.0.0.0:80', false],
  ['224.0.0.1:80', false],
  ['255.255.255.255:80', false],
  ['127.0.0.0x100:80', false]
])('%s is the address of one machine, without a name lookup: %s', (text, expected) => {
  expect(isUnicastAddress(text)).toBe(expected)
})

const hosts = fc.oneof(
  fc.ipV4(),
  fc.ipV4Extended(),
  fc.domain(),
  fc.webAuthority(),
  fc.stringMatching(/^[0-9a-zA-Zx.-]{1,20}$/),
  fc.stringMatching(/^(xn--)?[a-z0-9-]{1,8}\.(0x)?[0-9a-f]{1,4}$/)
)

// Guards against review/5, where a host that the parser took for a name made the client of the instance throw.
test('whatever is an address can be connected to as it stands', () => {
  fc.assert(fc.property(hosts, fc.integer({ min: -1, max: 70_000 }), (host, port) => {
    const text = `${host}:${port}`
    if (!isAddress(text)) return
    const url = new URL(`http://${text}`)
    expect([url.hostname, Number(url.port || 80)]).toEqual([host.toLowerCase(), port])
    new InstanceClient(text, 1).close()
    const [connectedHost, connectedPort] = splitAddress(text)
    connect({ host: connectedHost, port: connectedPort, lookup: () => {} }).on('error', () => {}).destroy()
  }), { numRuns: 3000 })
})
