/** Interface between the HTTP server for callers and the entry. */
import type http from 'node:http';

import type { MemoryAccount } from '@radishbay/core/memory/memoryAccount.js';

import type { ParseFault } from './requestParser.js';

/** A caller's request whose headers have been parsed and are within their limits. */
export interface IncomingRequest {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Time of arrival by the clock of the server for callers, in milliseconds. */
  readonly arrivedAtMs: number;
  readonly bodyLimitBytes: number;
  /** Answers with a refusal whose outcome is `not-run`, and counts it. */
  readonly refuse: (fault: ParseFault) => void;
}

/** Handles requests from the server for callers, and reads their bodies. */
export abstract class RequestHandler {
  /** @returns the account of the memory held for the request, if it is counted */
  abstract handle(request: IncomingRequest): MemoryAccount | undefined;
}
