import { Metadata, status } from '@grpc/grpc-js'
import type { CallOptions, ClientReadableStream, ClientUnaryCall, ServiceError } from '@grpc/grpc-js'
import { ConnectionError } from './port.js'

type UnaryMethod<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, reply: Reply) => void
) => ClientUnaryCall

type StreamMethod<Request, Event> = (request: Request) => ClientReadableStream<Event>

// What the client library reports before a request has left this process.
const neverSent = ['No connection established', 'Name resolution failed', 'Channel has been shut down']

/// Calls a unary method with a deadline and turns its errors into `ConnectionError`.
export function callUnary<Request, Reply> (
  method: UnaryMethod<Request, Reply>,
  request: Request,
  timeoutMs: number
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const options = { deadline: Date.now() + timeoutMs }
    method(request, new Metadata(), options, (error, reply) => {
      if (error === null) resolve(reply)
      else reject(toConnectionError(error))
    })
  })
}

/// Iterates a server's stream. Leaving the loop cancels the stream.
export async function * readStream<Request, Event> (
  method: StreamMethod<Request, Event>,
  request: Request
): AsyncGenerator<Event> {
  const stream = method(request)
  try {
    for await (const event of stream) yield event as Event
  } catch (error) {
    throw toConnectionError(error as ServiceError)
  } finally {
    stream.cancel()
  }
}

function toConnectionError (error: ServiceError): ConnectionError {
  const details = error.details ?? error.message
  const sent = !neverSent.some(prefix => details.startsWith(prefix))
  const name = status[error.code] ?? 'UNKNOWN'
  return new ConnectionError(`${name}: ${details}`, sent, { cause: error })
}
