/// Internal modules of undici, which come without types.
declare module 'undici/lib/api/api-request.js' {
  const request: unknown
  export = request
}
declare module 'undici/lib/core/connect.js' {
  import type { Socket } from 'node:net'
  import type { buildConnector } from 'undici'
  type Connect = (options: buildConnector.Options, callback: buildConnector.Callback) => Socket
  const build: (options: { readonly timeout: number }) => Connect
  export = build
}
declare module 'undici/lib/dispatcher/dispatcher.js' {
  const Dispatcher: { readonly prototype: object }
  export = Dispatcher
}
declare module 'undici/lib/dispatcher/pool.js' {
  const Pool: unknown
  export = Pool
}
