/** How a request whose head is in order comes to the entry's decisions. */
import type http from 'node:http';

import type { ParseFault } from './requestParser.js';

/** A caller's request as its head has arrived. */
export interface IncomingRequest {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly arrivedAtMs: number;
  readonly bodyLimitBytes: number;
  /** Refuses the request as not run, and counts it. */
  readonly refuse: (fault: ParseFault) => void;
}

/** Takes requests from the server for callers; reads their bodies as it needs them. */
export abstract class RequestHandler {
  abstract handle(request: IncomingRequest): void;
}
