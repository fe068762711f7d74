/** Fault injection of the model engine, controlled by `POST /faults`. */
import { readNumber, readString, type JsonObject } from '../http/json.js';

import type { EngineModel } from './engineModel.js';

type FaultHandler = (params: JsonObject) => void;

/** Injects faults into one engine. */
export class EngineFaults {
  readonly #model: EngineModel;

  readonly #handlers: ReadonlyMap<string, FaultHandler>;

  /** Number of next requests to answer with status 503 without executing them. */
  #declineCount = 0;

  /** Number of next requests to execute and abort after the first token. */
  #abortCount = 0;

  /** Text of prompts that crash the engine when it begins to answer; empty for none. */
  #crashingText = '';

  constructor(model: EngineModel) {
    this.#model = model;
    this.#handlers = new Map<string, FaultHandler>([
      ['none', () => this.#clear()],
      ['turn-cold', (params) => model.turnCold(readNumber(params, 'ms', 0))],
      ['stall', (params) => model.stall(readNumber(params, 'ms', 1_000))],
      ['slow', (params) => model.slowDown(readNumber(params, 'factor', 5))],
      ['restart', () => model.restart()],
      ['report-warm', () => model.overrideWarm(true)],
      ['fail-next', (params) => this.#abortNext(readNumber(params, 'count', 1))],
      ['crash-on-prompt', (params) => this.#crashOnPrompt(readString(params, 'text', ''))],
      ['decline-next', (params) => this.#declineNext(readNumber(params, 'count', 1))],
    ]);
  }

  get kinds(): readonly string[] {
    return [...this.#handlers.keys()];
  }

  /** @returns false if the `kind` in the parameters is unknown */
  apply(params: JsonObject): boolean {
    const handler = this.#handlers.get(readString(params, 'kind', ''));
    handler?.(params);
    return handler !== undefined;
  }

  /** @returns whether to decline the next request; decrements the count */
  consumeDecline(): boolean {
    if (this.#declineCount <= 0) return false;
    this.#declineCount -= 1;
    return true;
  }

  /** @returns whether to abort the next request; decrements the count */
  consumeAbort(): boolean {
    if (this.#abortCount <= 0) return false;
    this.#abortCount -= 1;
    return true;
  }

  /** Whether the engine crashes when it begins to answer the prompt. */
  isCrashing(prompt: string): boolean {
    return this.#crashingText !== '' && prompt.includes(this.#crashingText);
  }

  #crashOnPrompt(text: string): void {
    this.#crashingText = text;
  }

  #declineNext(count: number): void {
    this.#declineCount = count;
  }

  #abortNext(count: number): void {
    this.#abortCount = count;
  }

  #clear(): void {
    this.#model.slowDown(1);
    this.#model.overrideWarm(false);
    this.#declineCount = 0;
    this.#abortCount = 0;
    this.#crashingText = '';
  }
}
