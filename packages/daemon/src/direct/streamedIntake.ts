/** Requests that are judged by their heads; their bodies may still be arriving. */
import type { Caller } from '@radishbay/core/ports/caller.js';
import type { ForwardedRequest } from '@radishbay/core/ports/upstreamCaller.js';

import { CallerIntake, type Arrival } from '../callers/callerIntake.js';
import { HttpCaller } from '../callers/httpCaller.js';

import { ArrivingBody } from './arrivingBody.js';
import type { WireCodec } from './wireCodec.js';

const MS_PER_SECOND = 1_000;

/** Fractions of a second too: callers of this way come back as exactly as they are told. */
function formatSeconds(retryAfterMs: number): string {
  return (retryAfterMs / MS_PER_SECOND).toFixed(3);
}

export interface StreamedIntakeOptions {
  readonly codec: WireCodec;
  readonly accept: (request: ForwardedRequest, caller: Caller) => void;
}

export class StreamedIntake extends CallerIntake {
  readonly #options: StreamedIntakeOptions;

  constructor(options: StreamedIntakeOptions) {
    super();
    this.#options = options;
  }

  override take({ message, response, arrivedAtMs, bodyLimitBytes, refuse }: Arrival): void {
    const body = new ArrivingBody(message, bodyLimitBytes);
    response.once('close', () => body.drop());
    const request = this.#options.codec.readRequest(message, body, arrivedAtMs);
    if (!request.ok) refuse(request.val);
    else this.#options.accept(request.val, new HttpCaller(response, formatSeconds));
  }
}
