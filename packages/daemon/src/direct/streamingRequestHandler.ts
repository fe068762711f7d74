/** Requests that are judged by their heads; their bodies may still be arriving. */
import type { Caller } from '@radishbay/core/ports/caller.js';
import type { ForwardedRequest } from '@radishbay/core/ports/upstreamCaller.js';

import { RequestHandler, type IncomingRequest } from '../callers/requestHandler.js';
import { HttpCaller } from '../callers/httpCaller.js';

import { IncomingBody } from './incomingBody.js';
import type { WireCodec } from './wireCodec.js';

const MS_PER_SECOND = 1_000;

/** Fractions of a second too: callers of this way come back as exactly as they are told. */
function formatSeconds(retryAfterMs: number): string {
  return (retryAfterMs / MS_PER_SECOND).toFixed(3);
}

export interface StreamingRequestHandlerOptions {
  readonly codec: WireCodec;
  readonly accept: (request: ForwardedRequest, caller: Caller) => void;
}

export class StreamingRequestHandler extends RequestHandler {
  readonly #options: StreamingRequestHandlerOptions;

  constructor(options: StreamingRequestHandlerOptions) {
    super();
    this.#options = options;
  }

  override handle({
    message,
    response,
    arrivedAtMs,
    bodyLimitBytes,
    refuse,
  }: IncomingRequest): void {
    const body = new IncomingBody(message, bodyLimitBytes);
    response.once('close', () => body.discard());
    const request = this.#options.codec.readRequest(message, body, arrivedAtMs);
    if (!request.ok) refuse(request.val);
    else this.#options.accept(request.val, new HttpCaller(response, formatSeconds));
  }
}
