/** Faults of the model engine that `POST /faults` switches on. */
import { readNumber, readString, type JsonObject } from '../http/json.js';

import type { EngineModel } from './engineModel.js';

type FaultHandler = (params: JsonObject) => void;

/** Switches faults of one engine on and off. */
export class EngineFaults {
  readonly #model: EngineModel;

  readonly #handlers: ReadonlyMap<string, FaultHandler>;

  /** Requests to answer with status 503, not run. */
  #declineCount = 0;

  /** Requests to run and to break off after the first token. */
  #breakCount = 0;

  constructor(model: EngineModel) {
    this.#model = model;
    this.#handlers = new Map<string, FaultHandler>([
      ['none', () => this.#clear()],
      ['turn-cold', (params) => model.turnCold(readNumber(params, 'ms', 0))],
      ['stall', (params) => model.stall(readNumber(params, 'ms', 1_000))],
      ['slow', (params) => model.slowDown(readNumber(params, 'factor', 5))],
      ['restart', () => model.restart()],
      ['report-warm', () => model.claimWarm(true)],
      ['fail-next', (params) => this.#breakNext(readNumber(params, 'count', 1))],
      ['decline-next', (params) => this.#declineNext(readNumber(params, 'count', 1))],
    ]);
  }

  get kinds(): readonly string[] {
    return [...this.#handlers.keys()];
  }

  /** @returns whether there is a fault of that kind */
  apply(params: JsonObject): boolean {
    const handler = this.#handlers.get(readString(params, 'kind', ''));
    handler?.(params);
    return handler !== undefined;
  }

  /** Whether the next request is to be declined; counts it. */
  takeDecline(): boolean {
    if (this.#declineCount <= 0) return false;
    this.#declineCount -= 1;
    return true;
  }

  /** Whether the next request is to be broken off; counts it. */
  takeBreak(): boolean {
    if (this.#breakCount <= 0) return false;
    this.#breakCount -= 1;
    return true;
  }

  #declineNext(count: number): void {
    this.#declineCount = count;
  }

  #breakNext(count: number): void {
    this.#breakCount = count;
  }

  #clear(): void {
    this.#model.slowDown(1);
    this.#model.claimWarm(false);
    this.#declineCount = 0;
    this.#breakCount = 0;
  }
}
