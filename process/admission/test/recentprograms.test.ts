import { expect, test } from 'vitest'
import { RecentPrograms } from '../src/recentprograms.js'

test('the programs without a recent call are forgotten first', () => {
  const programs = new RecentPrograms()
  for (let i = 0; i < 20_000; i++) programs.add(`p${i}`)
  programs.add('p0')
  programs.add('another')
  expect([programs.has('p0'), programs.has('p1'), programs.has('another')]).toEqual([true, false, true])
})
