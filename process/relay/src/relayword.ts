/// What an entry tells the one that relays a connection to it, before or between responses: bytes with which no
/// response begins.
export const RelayWord = {
  /// It will serve what comes on the connection. Until then it has read nothing of it.
  taken: 0x06,
  /// It stops: it should get no further requests on the connection, and answers those on their way.
  stopping: 0x04
} as const

export type RelayWord = typeof RelayWord[keyof typeof RelayWord]
