/** Calls of upstreams over HTTP/1.1, on connections that are kept. */
import {
  CallFailureKind,
  UpstreamCaller,
  type CallEvents,
  type CallInProgress,
  type UpstreamCall,
} from '@radishbay/core/ports/upstreamCaller.js';

import { HttpUpstreamCall } from './httpUpstreamCall.js';
import { UpstreamAgent } from './upstreamAgent.js';
import type { WireCodec } from './wireCodec.js';

/** Longest idle time of a connection for requests that may be repeated. */
const IDLE_LIMIT_MS = 8_000;

/** The same for requests that may run only once: a reset would leave their outcome unknown. */
const NON_REPEATABLE_IDLE_LIMIT_MS = 1_000;

/** A call that was never made. */
const FAILED_CALL: CallInProgress = { cancel: () => {}, pause: () => {}, resume: () => {} };

/** Calls upstreams over HTTP with connections of its own. */
export class HttpUpstreamCaller extends UpstreamCaller {
  readonly #codec: WireCodec;

  readonly #agent = new UpstreamAgent(IDLE_LIMIT_MS);

  readonly #nonRepeatableAgent = new UpstreamAgent(NON_REPEATABLE_IDLE_LIMIT_MS);

  constructor(codec: WireCodec) {
    super();
    this.#codec = codec;
  }

  override call(call: UpstreamCall, events: CallEvents): CallInProgress {
    const agent = call.isFreshNeeded ? this.#nonRepeatableAgent : this.#agent;
    try {
      return new HttpUpstreamCall(call, this.#codec, agent, events);
    } catch (error) {
      // Node refuses to write some fields that it has read; no byte was sent then.
      const detail = `the request cannot be written: ${String(error)}`;
      queueMicrotask(() => events.onFailure(CallFailureKind.NotSent, detail));
      return FAILED_CALL;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
    this.#nonRepeatableAgent.destroy();
  }
}
