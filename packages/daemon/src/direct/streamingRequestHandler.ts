/** Handles requests as soon as their headers have been parsed, while bodies are streamed. */
import type http from 'node:http';

import { MemoryAccount } from '@radishbay/core/memory/memoryAccount.js';
import type { MemoryBudget } from '@radishbay/core/memory/memoryBudget.js';
import { createBodyRefusal } from '@radishbay/core/memory/bodyRefusal.js';
import { MemoryKind } from '@radishbay/core/memory/memoryKind.js';
import { Outcome, RefusalReason } from '@radishbay/core/model/reason.js';
import type { Caller } from '@radishbay/core/ports/caller.js';
import type { ForwardedRequest } from '@radishbay/core/ports/upstreamCaller.js';
import { resetConnection } from '@radishbay/objects/connectionReset.js';

import { RequestHandler, type IncomingRequest } from '../callers/requestHandler.js';
import { HttpCaller } from '../callers/httpCaller.js';

import { IncomingBody, readDeclaredLength } from './incomingBody.js';
import type { WireCodec } from './wireCodec.js';

const MS_PER_SECOND = 1_000;

/** Heap used for one request: Node's objects and those of the entry. */
const REQUEST_BYTES = 12 * 1024;

/** Heap used for each character of a head: the original fields and the ones to be sent. */
const HEAD_FACTOR = 2;

function estimateHeadBytes({ rawHeaders, url = '' }: http.IncomingMessage): number {
  let chars = url.length;
  for (let at = 0; at < rawHeaders.length; at += 1) chars += rawHeaders[at]?.length ?? 0;
  return REQUEST_BYTES + chars * HEAD_FACTOR;
}

/** Formats seconds with three decimals: these callers retry exactly at the time given. */
function formatSeconds(retryAfterMs: number): string {
  return (retryAfterMs / MS_PER_SECOND).toFixed(3);
}

export interface StreamingRequestHandlerOptions {
  readonly codec: WireCodec;
  readonly budget: MemoryBudget;
  readonly accept: (request: ForwardedRequest, caller: Caller) => void;
}

/** Accepts requests without waiting for their bodies. */
export class StreamingRequestHandler extends RequestHandler {
  readonly #options: StreamingRequestHandlerOptions;

  constructor(options: StreamingRequestHandlerOptions) {
    super();
    this.#options = options;
  }

  override handle(incoming: IncomingRequest): MemoryAccount {
    const { message, response, arrivedAtMs, bodyLimitBytes, refuse } = incoming;
    const { budget, codec, accept } = this.#options;
    let body: IncomingBody | undefined;
    const account = new MemoryAccount({
      budget,
      expectedBytes: readDeclaredLength(message) ?? bodyLimitBytes,
      onEvict: (reason) => {
        if (!response.writableEnded) body?.reject(reason);
        else if (response.socket) resetConnection(response.socket);
      },
    });
    body = new IncomingBody(message, bodyLimitBytes, account);
    response.once('close', () => {
      body?.discard();
      account.release();
    });
    const caller = new HttpCaller(response, formatSeconds, account);
    if (!account.hold(MemoryKind.Head, estimateHeadBytes(message))) {
      caller.refuse(createBodyRefusal(RefusalReason.MemoryShort, Outcome.NotRun));
      return account;
    }
    const request = codec.readRequest(message, body, arrivedAtMs);
    if (!request.ok) refuse(request.val);
    else accept(request.val, caller);
    return account;
  }
}
