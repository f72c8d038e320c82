import type { LoadReport, SidecarPort } from '#connection/wire'

/// An upstream with the sidecar beside it, as an entry knows it.
export interface UpstreamView {
  readonly sidecarId: string
  readonly incarnation: string
  readonly upstream: string
  readonly kind: 'model' | 'service'
  /// The model or service that it serves.
  readonly serves: string
  readonly zone: string
  /// False while it drains, is ejected or was not heard from.
  readonly available: boolean
  /// The last load report, as old as `reportAgeMs`; undefined before the first.
  readonly load: LoadReport | undefined
  readonly reportAgeMs: number
  readonly port: SidecarPort
}

/// The upstreams that this entry may send work to.
export interface UpstreamDirectory {
  candidates (kind: 'model' | 'service', serves: string): readonly UpstreamView[]
  get (sidecarId: string): UpstreamView | undefined
  /// Takes in how a dispatch ended, for ejection and load estimates.
  report (sidecarId: string, result: 'ok' | 'failed', load: LoadReport | undefined): void
}
