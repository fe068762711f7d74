/** Requests whose bodies are read whole before they are parsed. */
import type http from 'node:http';

import type { CallerRequest } from '@radishbay/core/model/request.js';
import type { Result } from '@radishbay/core/outcome.js';
import type { Caller } from '@radishbay/core/ports/caller.js';

import { describeTooLarge, dropRest } from './bodyRest.js';
import { CallerIntake, type Arrival } from './callerIntake.js';
import { HttpCaller } from './httpCaller.js';
import type { ParseFault } from './requestParser.js';

export interface WholeIntakeOptions {
  /** Turns what arrived into a request. */
  readonly parse: (
    message: http.IncomingMessage,
    body: Buffer,
    arrivedAtMs: number,
  ) => Result<CallerRequest, ParseFault>;
  readonly accept: (request: CallerRequest, caller: Caller) => void;
}

/** Reads bodies whole: the parser looks into them. */
export class WholeIntake extends CallerIntake {
  readonly #options: WholeIntakeOptions;

  constructor(options: WholeIntakeOptions) {
    super();
    this.#options = options;
  }

  override take(arrival: Arrival): void {
    const { message, bodyLimitBytes, refuse } = arrival;
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const finish = () => this.#pass(arrival, Buffer.concat(chunks));
    const read = (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= bodyLimitBytes) {
        chunks.push(chunk);
        return;
      }
      message.off('data', read);
      message.off('end', finish);
      refuse(describeTooLarge(bodyLimitBytes));
      dropRest(message);
    };
    message.on('data', read);
    message.on('end', finish);
    // A caller that hangs up while it sends is nobody's request yet.
    message.on('error', () => {});
  }

  #pass({ message, response, arrivedAtMs, refuse }: Arrival, body: Buffer): void {
    const parsed = this.#options.parse(message, body, arrivedAtMs);
    if (!parsed.ok) refuse(parsed.val);
    else this.#options.accept(parsed.val, new HttpCaller(response));
  }
}
