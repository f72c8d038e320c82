import { randomBytes } from 'node:crypto'
import type { DatagramFields } from '#connection/datagram'
import type { Workspace, Workspaces } from '#version/configuration'
import type { EventLog } from '#process/log'
import type { Metrics } from '#process/metrics'
import { QuotaClient } from './client.js'
import { PeerContact } from './contact.js'
import { QuotaCoordinator } from './coordinator.js'
import { Members } from './members.js'
import type { EntryList } from './members.js'
import { MessageKind, formatMessage, parseMessage } from './messages.js'
import type { QuotaMessage, ReplyMessage } from './messages.js'
import type { QuotaTolerance } from './tolerance.js'
import type { AcquireOptions, Credit } from './workspacecredit.js'

export interface WorkspaceQuotasOptions {
  readonly entries: EntryList
  readonly tolerance: QuotaTolerance
  /// Sends a datagram of the type `quotaDatagramType` to HOST:PORT; it may be lost.
  readonly send: (fields: object, address: string) => void
}

/// Of the id of a process.
const idBytes = 6

/// The quotas of workspaces at one entry: as a coordinator for all entries, and for its own calls.
export class WorkspaceQuotas {
  private readonly contact: PeerContact
  private readonly coordinator: QuotaCoordinator
  private readonly client: QuotaClient
  private readonly members: Members
  private workspaces: Workspaces | null = null

  constructor (private readonly options: WorkspaceQuotasOptions, log: EventLog, metrics: Metrics) {
    const { entries, tolerance } = options
    const send = (message: QuotaMessage, address: string): void => options.send(formatMessage(message), address)
    const members = this.members = new Members(entries)
    const contact = this.contact = new PeerContact(members, send, log)
    const client = randomBytes(idBytes).toString('base64url')
    const getWorkspaces = (): Workspaces | null => this.workspaces
    this.coordinator = new QuotaCoordinator({ client, members, contact, send, getWorkspaces }, log, metrics)
    const { coordinator } = this
    this.client = new QuotaClient({ client, members, contact, coordinator, send, tolerance }, log, metrics)
    metrics.addGauge('quota_buckets', () => coordinator.count)
    metrics.addGauge('quota_workspaces', () => this.client.count)
  }

  /// Resolves when the call may be served. Rejects with `RefusedError`, with the verdict that it did not run.
  acquire (workspace: Workspace, options: AcquireOptions): Promise<Credit> {
    return this.client.acquire(workspace, options)
  }

  setWorkspaces (workspaces: Workspaces | null): void {
    this.workspaces = workspaces
    this.coordinator.applyConfiguration()
    this.client.applyConfiguration(name => workspaces?.get(name) ?? null)
  }

  /// Handles a datagram of the type `quotaDatagramType`; `address` is the sender's.
  receive (fields: DatagramFields, address: string): void {
    const message = parseMessage(fields)
    if (message === null || message.sender === this.options.entries.own.name) return
    this.members.update()
    this.contact.hear(message.sender)
    this.handle(message, address)
  }

  stop (): void {
    this.client.stop()
  }

  private handle (message: QuotaMessage, address: string): void {
    const { coordinator, contact } = this
    switch (message.kind) {
      case MessageKind.ask: return coordinator.handleAsk(message, reply => this.send(reply, address))
      case MessageKind.reply: return this.handleReply(message)
      case MessageKind.check: return coordinator.handleCheck(message, address)
      case MessageKind.take: return coordinator.handleTake(message, address)
      case MessageKind.state: return contact.handleState(message)
    }
  }

  /// Passes a reply on if this entry has forwarded the request.
  private handleReply (reply: ReplyMessage): void {
    if (reply.replyTo === '') this.client.handleReply(reply)
    else this.send({ ...reply, sender: this.options.entries.own.name, replyTo: '' }, reply.replyTo)
  }

  private send (message: QuotaMessage, address: string): void {
    this.options.send(formatMessage(message), address)
  }
}
