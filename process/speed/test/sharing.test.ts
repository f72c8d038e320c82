import { describe, expect, test } from 'vitest'
import { InstanceSpeed, encodeSpeedNews, parseSpeedNews, takeSpeedNews } from '#process/speed'

const createSpeeds = (count: number): Map<string, InstanceSpeed> => {
  return new Map(Array.from({ length: count }, (_, i) => [`models-eu-${i}`, new InstanceSpeed()]))
}

const observe = (speed: InstanceSpeed, log: number, count: number, nowMs = 0): void => {
  for (let i = 0; i < count; i++) speed.recordSample({ log, weight: 1 }, nowMs)
}

// Guards against digests that grow with the fleet: an entry sends four a second, and 7 KB/s for all control work.
test('of 5,900 instances observed, a digest holds at most 600 bytes, and each instance gets its turn', () => {
  const speeds = createSpeeds(5900)
  for (const speed of speeds.values()) observe(speed, 0.7, 1)
  const sent = new Set<string>()
  for (let i = 0; i < 400; i++) {
    const news = takeSpeedNews(speeds)
    expect(JSON.stringify(encodeSpeedNews(news)).length).toBeLessThanOrEqual(600)
    for (const { instanceId } of news) sent.add(instanceId)
  }
  expect(sent.size).toBe(5900)
})

test('another entry learns what this one has observed, and does not pass it on', () => {
  const [own, others, third] = [createSpeeds(2), createSpeeds(2), createSpeeds(2)]
  const share = (from: Map<string, InstanceSpeed>, to: Map<string, InstanceSpeed>): void => {
    const news = parseSpeedNews(JSON.parse(JSON.stringify(encodeSpeedNews(takeSpeedNews(from)))))
    for (const { instanceId, ...observations } of news) to.get(instanceId)!.recordShared(observations, 0)
  }
  observe(own.get('models-eu-1')!, Math.log(2), 12)
  share(own, others)
  share(others, third)
  expect(others.get('models-eu-1')!.getFactor(0)).toBeGreaterThan(1.5)
  expect(others.get('models-eu-0')!.getFactor(0)).toBe(1)
  expect(third.get('models-eu-1')!.getFactor(0)).toBe(1)
  expect(takeSpeedNews(own)).toEqual([])
})

describe('what another entry sends', () => {
  test.each([
    ['is missing', undefined, []],
    ['is no list', { a: 1 }, []],
    ['has entries of other kinds', [1, null, 'a', {}, ['a'], ['a', 1], [1, 1, 1]], []],
    ['has no number', [['a', '1', 1], ['b', null, 1], ['c', 1, 'x']], []],
    ['has no weight', [['a', 1, 0], ['b', 1, -3]], []],
    ['weighs too much', [['a', 100, 1000]], [{ instanceId: 'a', sum: 2, weight: 20 }]],
    ['is an extreme value', [['a', 1e9, 1]], [{ instanceId: 'a', sum: Math.log(10), weight: 1 }]],
    ['is well-formed', [['a', -0.5, 2]], [{ instanceId: 'a', sum: -0.5, weight: 2 }]]
  ])('%s', (_, value, expected) => {
    expect(parseSpeedNews(value)).toEqual(expected)
  })

  test('is bounded in number', () => {
    expect(parseSpeedNews(Array.from({ length: 5000 }, (_, i) => [`i${i}`, 1, 1])).length).toBe(100)
  })
})
