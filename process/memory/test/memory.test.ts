import fc from 'fast-check'
import { expect, test } from 'vitest'
import { ByteCollector, MemoryBudget, planConnections, planMemory, readMaxDescriptors } from '#process/memory'

const megabyte = 1024 * 1024

test('a budget counts what messages hold beyond their free bytes, and refuses more', () => {
  const budget = new MemoryBudget(1000, 100)
  const large = budget.open()
  expect(large.add(900)).toBe(true)
  const other = budget.open()
  expect(other.add(100)).toBe(true)
  expect(budget.usedBytes).toBe(800)
  expect(other.add(201)).toBe(false)
  expect(budget.usedBytes).toBe(800)
  expect(other.add(200)).toBe(true)
  expect(budget.usedBytes).toBe(1000)
  expect(large.set(50)).toBe(true)
  expect(budget.usedBytes).toBe(200)
  other.close()
  large.close()
  expect(budget.usedBytes).toBe(0)
})

test('the used bytes are the sum of what is held, in any order of messages', () => {
  const steps = fc.array(fc.tuple(fc.nat(4), fc.nat(500), fc.boolean()))
  fc.assert(fc.property(steps, sequence => {
    const budget = new MemoryBudget(800, 100)
    const shares = Array.from({ length: 5 }, () => budget.open())
    const held = shares.map(() => 0)
    for (const [i, bytes, isClosed] of sequence) {
      if (isClosed) {
        shares[i]!.close()
        held[i] = 0
      } else if (shares[i]!.set(bytes)) {
        held[i] = bytes
      }
      expect(budget.usedBytes).toBe(held.reduce((sum, count) => sum + Math.max(0, count - 100), 0))
      expect(budget.usedBytes).toBeLessThanOrEqual(800)
    }
  }))
})

test.each([null, 0, 88, 120, 178, 350, 602, 100_000])('a machine with %s MB: the shares fit into it beside the process', memoryMb => {
  const { requestBytes, responseBytes, cacheBytes } = planMemory(memoryMb)
  expect(Math.min(requestBytes, responseBytes, cacheBytes)).toBeGreaterThan(2 * megabyte)
  const restBytes = Math.max(16, (memoryMb ?? Infinity) - 80) * megabyte
  expect(requestBytes + responseBytes + cacheBytes).toBeLessThanOrEqual(restBytes / 2)
  expect(requestBytes + responseBytes + cacheBytes).toBeLessThanOrEqual(120 * megabyte)
})

// Guards against very many small messages, none of which counted.
test('beyond the free bytes of all messages together, small ones count, too', () => {
  const budget = new MemoryBudget(300, 100, 250)
  const shares = Array.from({ length: 6 }, () => budget.open())
  expect(shares.map(share => share.add(100))).toEqual([true, true, true, true, true, false])
  expect(budget.usedBytes).toBe(250)
  shares[0]!.close()
  expect(budget.usedBytes).toBe(150)
  expect(shares[5]!.add(100)).toBe(true)
})

test.each<[number | null, number | null, number, number]>([
  [178, 256, 64, 21],
  [178, 2212, 470, 184],
  [602, 10_250, 2505, 854],
  [null, null, 10_000, 10_000],
  [88, 40, 16, 16]
])('a machine with %s MB and %s descriptors accepts %i connections of callers and %i relayed ones', (memoryMb, descriptors, callers, relayed) => {
  expect(planConnections(memoryMb, descriptors)).toEqual({ callers, relayed })
})

test('the descriptors that this process may have open', () => {
  expect(readMaxDescriptors()).toBeGreaterThan(16)
  expect(readMaxDescriptors('/proc/self/no-such-file')).toBeNull()
})

test('a collector returns all bytes in their order', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 9000 }), { maxLength: 20 }), chunks => {
    const collector = new ByteCollector()
    for (const chunk of chunks) collector.add(Buffer.from(chunk))
    expect(collector.toBuffer().equals(Buffer.concat(chunks))).toBe(true)
  }))
})
