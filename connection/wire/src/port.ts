import type { CallEvent, CallRequest, EndRequest, HandOverReply, HandOverRequest, ListReply, ListRequest, OpenRequest, ProbeReply, ProbeRequest, ProgramReply, SettleRequest, ShowRequest } from './generated/chicorynotch/v1/entry.js'
import type { ConfigureReply, ConfigureRequest, EventsReply, EventsRequest } from './generated/chicorynotch/v1/process.js'
import type { AcknowledgeReply, AcknowledgeRequest, AttachRequest, DispatchEvent, DispatchRequest, InquireReply, InquireRequest, LoadReport, ReleaseReply, ReleaseRequest, ReportRequest } from './generated/chicorynotch/v1/sidecar.js'

/// What an entry can ask of another entry. A server implements it, a client
/// offers it, and a test's fake stands in for it. Methods reject with
/// `ConnectionError` when the peer can't be reached or the stream breaks.
export interface EntryPort {
  open (request: OpenRequest): Promise<ProgramReply>
  call (request: CallRequest): AsyncIterable<CallEvent>
  end (request: EndRequest): Promise<ProgramReply>
  show (request: ShowRequest): Promise<ProgramReply>
  list (request: ListRequest): Promise<ListReply>
  settle (request: SettleRequest): Promise<ProgramReply>
  probe (request: ProbeRequest): Promise<ProbeReply>
  handOver (request: HandOverRequest): Promise<HandOverReply>
}

/// What an owner can ask of the process beside an upstream. A stream that
/// breaks, or that its reader leaves, does not stop the call: `attach` follows
/// it again.
export interface SidecarPort {
  dispatch (request: DispatchRequest): AsyncIterable<DispatchEvent>
  attach (request: AttachRequest): AsyncIterable<DispatchEvent>
  inquire (request: InquireRequest): Promise<InquireReply>
  acknowledge (request: AcknowledgeRequest): Promise<AcknowledgeReply>
  release (request: ReleaseRequest): Promise<ReleaseReply>
  report (request: ReportRequest): Promise<LoadReport>
}

/// What can be asked of any process.
export interface ProcessPort {
  events (request: EventsRequest): Promise<EventsReply>
  configure (request: ConfigureRequest): Promise<ConfigureReply>
}

/// A peer could not be reached or a stream broke. `mayHaveArrived` is false
/// only when the request was certainly not delivered.
export class ConnectionError extends Error {
  override readonly name = 'ConnectionError'

  constructor (message: string, readonly mayHaveArrived: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}
