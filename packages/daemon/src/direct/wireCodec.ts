/** How requests and answers travel between callers, an entry and the upstreams that it calls. */
import type http from 'node:http';

import type { Result } from '@radishbay/core/outcome.js';
import type {
  AnswerHead,
  ForwardedRequest,
  UpstreamCall,
} from '@radishbay/core/ports/upstreamCaller.js';
import type { RequestBody } from '@radishbay/core/ports/requestBody.js';

import type { ParseFault } from '../callers/requestParser.js';

/** Names on the wire of one platform. */
export abstract class WireCodec {
  /** Reads a caller's request. */
  abstract readRequest(
    message: http.IncomingMessage,
    body: RequestBody,
    arrivedAtMs: number,
  ): Result<ForwardedRequest, ParseFault>;

  /** Writes the headers of a request to an upstream, without those of its body's framing. */
  abstract writeHeaders(call: UpstreamCall): Readonly<Record<string, string>>;

  /**
   * Reads the head of an upstream's answer.
   *
   * @param isReused whether the connection has carried other answers before
   */
  abstract readHead(
    response: http.IncomingMessage,
    call: UpstreamCall,
    isReused: boolean,
  ): AnswerHead;
}
