/// What a request asks for.
export interface RequestTarget {
  readonly host: string
  /// With its query.
  readonly path: string
}

/// Returns the target in the text of a request head, null if it has no host.
export function findRequestTarget (head: string): RequestTarget | null {
  const path = /^\S+ (\S+) /.exec(head)?.[1]
  const host = /^host:[ \t]*(\S+)[ \t]*$/im.exec(head)?.[1]
  return path === undefined || host === undefined ? null : { host, path }
}
