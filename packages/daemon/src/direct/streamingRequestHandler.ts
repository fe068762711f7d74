/** Handles requests as soon as their headers have been parsed, while bodies are streamed. */
import type { Caller } from '@radishbay/core/ports/caller.js';
import type { ForwardedRequest } from '@radishbay/core/ports/upstreamCaller.js';

import { RequestHandler, type IncomingRequest } from '../callers/requestHandler.js';
import { HttpCaller } from '../callers/httpCaller.js';

import { IncomingBody } from './incomingBody.js';
import type { WireCodec } from './wireCodec.js';

const MS_PER_SECOND = 1_000;

/** Formats seconds with three decimals: these callers retry exactly at the time given. */
function formatSeconds(retryAfterMs: number): string {
  return (retryAfterMs / MS_PER_SECOND).toFixed(3);
}

export interface StreamingRequestHandlerOptions {
  readonly codec: WireCodec;
  readonly accept: (request: ForwardedRequest, caller: Caller) => void;
}

/** Accepts requests without waiting for their bodies. */
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
