/** Makes one planned call over HTTP and times it. */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import { performance } from 'node:perf_hooks';

import { CallVerdict, readProblem, type CallResult } from './callResult.js';
import { isOwnAnswer, type PlannedCall } from './callPlan.js';

const STATUS_OK = 200;
const EVENT_END = Buffer.from('\n\n');

export interface CallTarget {
  readonly baseUrl: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly agent: Agent;
  readonly timeoutMs: number;
}

function countEvents(data: Buffer): number {
  let count = 0;
  let at = data.indexOf(EVENT_END);
  while (at >= 0) {
    count += 1;
    at = data.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return count;
}

/** One call in progress. */
export class HttpCallRun {
  readonly #call: PlannedCall;

  readonly #dueMs: number;

  readonly #onDone: (result: CallResult) => void;

  readonly #request: ClientRequest;

  readonly #timer: NodeJS.Timeout;

  readonly #chunks: Buffer[] = [];

  readonly #gapsMs: number[] = [];

  #status = 0;

  #firstByteMs = 0;

  #lastEventMs = 0;

  #isConnected = false;

  #isTimedOut = false;

  #isDone = false;

  /**
   * Starts the call.
   *
   * @param dueMs time at which the call was due, by `performance.now`
   */
  constructor(
    target: CallTarget,
    call: PlannedCall,
    dueMs: number,
    onDone: (result: CallResult) => void,
  ) {
    this.#call = call;
    this.#dueMs = dueMs;
    this.#onDone = onDone;
    this.#timer = setTimeout(() => this.#timeOut(), target.timeoutMs);
    this.#request = request(new URL(call.path, target.baseUrl), {
      method: call.method,
      headers: { 'content-type': 'application/json', ...target.headers, ...call.headers },
      agent: target.agent,
    });
    this.#request.on('socket', (socket) => {
      if (!socket.connecting) this.#isConnected = true;
      else socket.once('connect', () => this.#noteConnected());
    });
    this.#request.on('error', () => this.#breakOff());
    this.#request.on('response', (response) => this.#read(response));
    this.#request.end(call.body);
  }

  #noteConnected(): void {
    this.#isConnected = true;
  }

  #timeOut(): void {
    this.#isTimedOut = true;
    this.#request.destroy();
    this.#breakOff();
  }

  #read(response: IncomingMessage): void {
    this.#status = response.statusCode ?? 0;
    response.on('data', (data: Buffer) => this.#readData(data));
    response.on('error', () => this.#breakOff());
    response.on('close', () => {
      if (response.complete) this.#settle();
      else this.#breakOff();
    });
  }

  #readData(data: Buffer): void {
    const nowMs = performance.now();
    if (this.#chunks.length === 0) this.#firstByteMs = nowMs - this.#dueMs;
    else this.#gapsMs.push(...this.#measureGaps(data, nowMs));
    if (countEvents(data) > 0) this.#lastEventMs = nowMs;
    this.#chunks.push(data);
  }

  /** Events that arrive together have no time between them. */
  #measureGaps(data: Buffer, nowMs: number): number[] {
    const events = countEvents(data);
    if (events === 0 || this.#lastEventMs === 0) return [];
    return [nowMs - this.#lastEventMs, ...new Array<number>(events - 1).fill(0)];
  }

  #breakOff(): void {
    if (this.#isTimedOut) this.#finish(CallVerdict.TimedOut);
    else this.#finish(this.#isConnected ? CallVerdict.Broken : CallVerdict.NotSent);
  }

  #settle(): void {
    const text = Buffer.concat(this.#chunks).toString('utf8');
    if (this.#status === STATUS_OK) {
      const isOwn = isOwnAnswer(this.#call, text);
      this.#finish(isOwn ? CallVerdict.Correct : CallVerdict.WrongContent);
      return;
    }
    const problem = readProblem(text);
    this.#finish(problem ? CallVerdict.Refused : CallVerdict.Failed, problem);
  }

  #finish(verdict: CallVerdict, problem = { reason: '', outcome: '' }): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#timer);
    const { id, kind } = this.#call;
    this.#onDone({
      id,
      kind,
      verdict,
      status: this.#status,
      ...problem,
      firstByteMs: this.#firstByteMs,
      wholeMs: performance.now() - this.#dueMs,
      gapsMs: this.#gapsMs,
    });
  }
}
