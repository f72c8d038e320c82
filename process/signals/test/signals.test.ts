import { EventEmitter } from 'node:events'
import { expect, test } from 'vitest'
import { ProcessSignals, SignalUse, signalUses } from '#process/signals'

test('signals that are received before anyone listens are held, in order, for the listener of their use', () => {
  const source = new EventEmitter()
  const signals = new ProcessSignals(source)
  for (const name of ['SIGHUP', 'SIGINT', 'SIGUSR2', 'SIGTERM', 'SIGHUP']) source.emit(name)
  const received: string[] = []
  signals.listen(SignalUse.stop, ({ name }) => received.push(`stop ${name}`))
  signals.listen(SignalUse.reload, ({ name }) => received.push(`reload ${name}`))
  source.emit('SIGQUIT')
  expect(received).toEqual(['stop SIGINT', 'stop SIGTERM', 'reload SIGHUP', 'reload SIGHUP', 'stop SIGQUIT'])
})

test('each signal has a handler from the construction on, and one is enough', () => {
  const source = new EventEmitter()
  const signals = new ProcessSignals(source)
  signals.listen(SignalUse.stop, () => {})
  expect(source.eventNames()).toEqual(Object.keys(signalUses))
  expect(source.eventNames().map(name => source.listenerCount(name))).toEqual(Object.keys(signalUses).map(() => 1))
})
