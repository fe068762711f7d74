/** Handles requests after their whole bodies have been received. */
import type http from 'node:http';

import { JoinedBuffer } from '@radishbay/core/memory/joinedBuffer.js';
import type { CallerRequest } from '@radishbay/core/model/request.js';
import type { Result } from '@radishbay/core/outcome.js';
import type { Caller } from '@radishbay/core/ports/caller.js';

import { describeTooLarge, discardBody } from './discardBody.js';
import { RequestHandler, type IncomingRequest } from './requestHandler.js';
import { HttpCaller } from './httpCaller.js';
import type { ParseFault } from './requestParser.js';

export interface BufferingRequestHandlerOptions {
  /** Parses headers and body into a request. */
  readonly parse: (
    message: http.IncomingMessage,
    body: Buffer,
    arrivedAtMs: number,
  ) => Result<CallerRequest, ParseFault>;
  readonly accept: (request: CallerRequest, caller: Caller) => void;
}

/** Buffers whole bodies, because the parser reads fields from them. */
export class BufferingRequestHandler extends RequestHandler {
  readonly #options: BufferingRequestHandlerOptions;

  constructor(options: BufferingRequestHandlerOptions) {
    super();
    this.#options = options;
  }

  override handle(request: IncomingRequest): undefined {
    const { message, bodyLimitBytes, refuse } = request;
    const body = new JoinedBuffer();
    let sizeBytes = 0;
    const handleEnd = () => this.#parseAndAccept(request, body.take());
    const handleData = (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= bodyLimitBytes) {
        body.append(chunk);
        return;
      }
      message.off('data', handleData);
      message.off('end', handleEnd);
      refuse(describeTooLarge(bodyLimitBytes));
      discardBody(message);
    };
    message.on('data', handleData);
    message.on('end', handleEnd);
    // If the caller disconnects during the body, no request has been accepted yet.
    message.on('error', () => {});
  }

  #parseAndAccept({ message, response, arrivedAtMs, refuse }: IncomingRequest, body: Buffer): void {
    const parsed = this.#options.parse(message, body, arrivedAtMs);
    if (!parsed.ok) refuse(parsed.val);
    else this.#options.accept(parsed.val, new HttpCaller(response));
  }
}
