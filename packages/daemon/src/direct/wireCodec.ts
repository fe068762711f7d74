/** Codec for requests and responses between callers, an entry and its upstreams. */
import type http from 'node:http';

import type { Result } from '@radishbay/core/outcome.js';
import type {
  AnswerHead,
  ForwardedRequest,
  UpstreamCall,
} from '@radishbay/core/ports/upstreamCaller.js';
import type { RequestBody } from '@radishbay/core/ports/requestBody.js';

import type { ParseFault } from '../callers/requestParser.js';

/** Maps requests and responses to the header names of one platform. */
export abstract class WireCodec {
  /**
   * Parses the head of a caller's request.
   *
   * @param arrivedAtMs time of arrival by the monotonic clock, in milliseconds
   */
  abstract readRequest(
    message: http.IncomingMessage,
    body: RequestBody,
    arrivedAtMs: number,
  ): Result<ForwardedRequest, ParseFault>;

  /** Creates the headers of a request to an upstream, except those that frame its body. */
  abstract writeHeaders(call: UpstreamCall): Readonly<Record<string, string>>;

  /**
   * Parses the head of an upstream's response.
   *
   * @param isReused whether an earlier call has used the connection
   */
  abstract readHead(
    response: http.IncomingMessage,
    call: UpstreamCall,
    isReused: boolean,
  ): AnswerHead;
}
