/**
 * A plain service of a theatre. It confirms swaps of stage sets, each of which must be executed
 * only once.
 *
 * `POST /swaps {requestId}` has an effect, which is counted; `GET /sets` has none.
 * `POST /faults {kind, ms, count}` injects faults, and `GET /record` returns what was executed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { wait } from '@radishbay/core/wait.js';
import { readNumber, readString } from '../http/json.js';
import { StandinServer, readJson, writeError, writeJson } from '../http/standinServer.js';

import { PlainRecord } from './plainRecord.js';

const SETS = ['balcony', 'forest', 'harbour'];

enum PlainFault {
  None = 'none',
  /** The effect happens at once, and the response is delayed. */
  Slow = 'slow',
  /** The connection is closed after the effect, without a response. */
  AnswerLost = 'answer-lost',
  /** The response has status 503, and there is no effect. */
  Refuse = 'refuse',
  /** The server stops at once and closes all connections. */
  Die = 'die',
}

const FAULTS: ReadonlyMap<string, PlainFault> = new Map(
  Object.values(PlainFault).map((fault) => [fault, fault]),
);

function readAttemptId(request: IncomingMessage): string {
  const value = request.headers['x-attempt-id'];
  return typeof value === 'string' ? value : 'unnamed';
}

/** A plain service that counts its executions. */
export class PlainServer extends StandinServer {
  readonly record = new PlainRecord();

  #fault = PlainFault.None;

  #delayMs = 0;

  /** Number of further requests that the fault applies to. */
  #remainingFaultCount = 0;

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const route = `${request.method} ${url.pathname}`;
    if (route === 'POST /swaps') await this.#confirmSwap(request, response);
    else if (route === 'GET /sets') await this.#listSets(response);
    else if (route === 'GET /record') writeJson(response, 200, this.record.toJson());
    else if (route === 'POST /faults') await this.#handleFault(request, response);
    else writeError(response, 404, `no such call: ${route}`);
  }

  async #confirmSwap(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const attemptId = readAttemptId(request);
    const body = await readJson(request);
    const requestId = body && readString(body, 'requestId', '');
    if (!requestId) {
      writeError(response, 400, 'requestId must be given');
      return;
    }
    await this.#answer(response, () => {
      this.record.countExecution(attemptId, requestId);
      return { isConfirmed: true, requestId };
    });
  }

  async #listSets(response: ServerResponse): Promise<void> {
    await this.#answer(response, () => {
      this.record.countRead();
      return { sets: SETS };
    });
  }

  /** Executes a request and responds, subject to the current fault. */
  async #answer(response: ServerResponse, carryOut: () => unknown): Promise<void> {
    const fault = this.#takeFault();
    if (fault === PlainFault.Refuse) {
      this.record.countRefusal();
      writeError(response, 503, 'refused by a fault');
      return;
    }
    const value = carryOut();
    if (fault === PlainFault.Slow) await wait(this.#delayMs);
    if (fault === PlainFault.AnswerLost) response.destroy();
    else writeJson(response, 200, value);
  }

  #takeFault(): PlainFault {
    if (this.#remainingFaultCount <= 0) return PlainFault.None;
    this.#remainingFaultCount -= 1;
    return this.#fault;
  }

  async #handleFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJson(request)) ?? {};
    const fault = FAULTS.get(readString(body, 'kind', ''));
    if (fault === undefined) {
      writeError(response, 400, `kind must be one of ${[...FAULTS.keys()].join(', ')}`);
      return;
    }
    this.#fault = fault;
    this.#delayMs = readNumber(body, 'ms', 0);
    this.#remainingFaultCount = readNumber(body, 'count', Infinity);
    if (fault === PlainFault.Die) await this.stop();
    else writeJson(response, 200, { kind: fault });
  }
}
