/// What a storage instance has room for.
export const Room = {
  all: 0,
  /// Only for turns that go on from others.
  continuing: 1,
  none: 2
} as const

export type Room = typeof Room[keyof typeof Room]
