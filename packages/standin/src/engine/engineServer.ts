/**
 * HTTP server of the model engine; its calls and options are described in this package's README.
 *
 * It has no knowledge of groups: `handlers` adds kinds of orders, and a {@link RankTarget} can
 * handle some kinds instead.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { hashPrefixes } from '@radishbay/core/model/prefixHash.js';
import { EngineOrderErrorKind, type Engine } from '@radishbay/core/ports/engine.js';

import { isJsonObject, readNumber, readString, type JsonObject } from '../http/json.js';
import { StandinServer, readBody, readJson, writeError, writeJson } from '../http/standinServer.js';

import { CompletionAnswer } from './completionAnswer.js';
import { parseCompletion, type CompletionRequest } from './completionRequest.js';
import { countPromptTokens } from './completionText.js';
import { EngineFaults } from './engineFaults.js';
import { EngineModel, SubmitError, type EngineWork } from './engineModel.js';
import { createEngineOrderHandlers } from './engineOrders.js';
import { parseEngineOptions } from './engineOptions.js';
import { OrderExecutor, type OrderHandler } from './orderExecutor.js';
import type { Sequence } from './sequence.js';

const COMPLETION_PATH = '/v1/completions';
const CHAT_PATH = '/v1/chat/completions';
const DEFAULT_PRIORITY = 5;

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Executes the orders that concern a rank of a group, in place of the engine's own handlers. */
export interface RankTarget extends Pick<Engine, 'order'> {
  readonly canHandle: (action: string) => boolean;
}

/** A model engine that serves completions. */
export class EngineServer extends StandinServer {
  readonly model: EngineModel;

  readonly #orders: OrderExecutor;

  readonly #faults: EngineFaults;

  readonly #rank: RankTarget | undefined;

  #unnamedCount = 0;

  /**
   * @param options see {@link parseEngineOptions}
   * @param handlers further kinds of orders
   * @param rank omitted if the engine belongs to no group
   */
  constructor(
    options: JsonObject = {},
    handlers: ReadonlyMap<string, OrderHandler> = new Map(),
    rank?: RankTarget,
  ) {
    super();
    this.#rank = rank;
    const parsed = parseEngineOptions(options);
    this.model = new EngineModel(parsed);
    this.#faults = new EngineFaults(this.model);
    this.#orders = new OrderExecutor(
      parsed.isFencing,
      new Map([...createEngineOrderHandlers(this.model), ...handlers]),
    );
  }

  override stop(): Promise<void> {
    this.model.close();
    return super.stop();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const route = `${request.method} ${url.pathname}`;
    if (route === `POST ${COMPLETION_PATH}`) await this.#complete(request, response, false);
    else if (route === `POST ${CHAT_PATH}`) await this.#complete(request, response, true);
    else if (route === 'GET /load') writeJson(response, 200, this.model.readLoad());
    else if (route === 'GET /cache-events') this.#writeCacheEvents(response, url);
    else if (route === 'GET /record') writeJson(response, 200, this.#describeRecord());
    else if (route === 'POST /orders') await this.#handleOrder(request, response);
    else if (route === 'POST /faults') await this.#handleFault(request, response);
    else writeError(response, 404, `no such call: ${route}`);
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
    isChat: boolean,
  ): Promise<void> {
    const completion = parseCompletion((await readBody(request)).toString('utf8'), isChat);
    if (!completion) {
      writeError(response, 400, 'the body must be a completion request');
    } else if (!this.model.inventory.models.has(completion.model)) {
      writeError(response, 404, `model ${completion.model} is not loaded`);
    } else if (this.#faults.consumeDecline()) {
      writeError(response, 503, 'declined by a fault');
    } else {
      this.#run(request, response, completion);
    }
  }

  #run(request: IncomingMessage, response: ServerResponse, completion: CompletionRequest): void {
    const offset = Number(readHeader(request, 'x-resume-offset') ?? 0) || 0;
    const answer = new CompletionAnswer(response, completion, offset);
    const work = this.#describeWork(request, completion, answer.firstToken);
    const isAborted = this.#faults.consumeAbort();
    const isCrashing = this.#faults.isCrashing(completion.prompt);
    const sequence = this.model.submit(work, {
      onToken: (index) => {
        if (isCrashing) {
          this.model.restart();
          return false;
        }
        const isReady = answer.writeToken(index);
        if (isAborted) response.destroy();
        return isReady;
      },
      onEnd: () => answer.end(),
      onFailure: () => response.destroy(),
    });
    if (sequence.ok) this.#bindToConnection(response, sequence.val);
    else if (sequence.val === SubmitError.Down) writeError(response, 503, 'restarting');
    else response.destroy();
  }

  #bindToConnection(response: ServerResponse, sequence: Sequence): void {
    response.on('drain', () => this.model.resume(sequence));
    response.on('close', () => this.model.cancel(sequence));
  }

  #describeWork(
    request: IncomingMessage,
    completion: CompletionRequest,
    firstToken: number,
  ): EngineWork {
    this.#unnamedCount += 1;
    return {
      attemptId: readHeader(request, 'x-attempt-id') ?? `unnamed-${this.#unnamedCount}`,
      priority: Number(readHeader(request, 'x-priority') ?? DEFAULT_PRIORITY),
      promptTokens: countPromptTokens(completion.prompt),
      prefixHashes: hashPrefixes(completion.prompt),
      firstToken,
      maxTokens: completion.maxTokens,
    };
  }

  #writeCacheEvents(response: ServerResponse, url: URL): void {
    const after = Number(url.searchParams.get('after') ?? 0);
    writeJson(response, 200, { events: this.model.listCacheEvents(after) });
  }

  #describeRecord(): JsonObject {
    return { ...this.model.record.toJson(), orders: this.#orders.orderIds };
  }

  async #handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJson(request)) ?? {};
    const orderId = readString(body, 'orderId', '');
    const action = readString(body, 'action', '');
    if (orderId === '' || action === '') {
      writeError(response, 400, 'orderId and action must be given');
      return;
    }
    const fencingNumber = readNumber(body, 'fencingNumber', 0);
    const params = isJsonObject(body.params) ? body.params : {};
    const order = { orderId, fencingNumber, action, params };
    const reply = this.#rank?.canHandle(action)
      ? await this.#rank.order(order)
      : this.#orders.apply(order);
    if (reply.ok) writeJson(response, 200, reply.val);
    else writeJson(response, reply.val.kind === EngineOrderErrorKind.Fenced ? 409 : 400, reply.val);
  }

  async #handleFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJson(request)) ?? {};
    if (this.#faults.apply(body)) writeJson(response, 200, {});
    else writeError(response, 400, `kind must be one of ${this.#faults.kinds.join(', ')}`);
  }
}
