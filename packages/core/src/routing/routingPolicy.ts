/** Interface of routing: chooses the upstream for an attempt. */
import type { Refusal } from '../model/reason.js';
import type { MessageOf, MessageType } from '../messages/message.js';
import type { Result } from '../outcome.js';
import type { EntryBoard } from '../state/entryBoard.js';

/** Requirements of an attempt on its upstream. */
export interface RoutingQuery {
  readonly pool: string;
  /** Model that the upstream must have loaded; undefined for plain services. */
  readonly model: string | undefined;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
  /** Upstreams that must not be chosen. */
  readonly excludedUpstreams: ReadonlySet<string>;
  /** Failure domains to use only if no upstream is available in any other. */
  readonly avoidedDomains: ReadonlySet<string>;
  readonly remainingMs: number;
  readonly isRepeatable: boolean;
}

/** Chooses the upstreams of attempts. */
export abstract class RoutingPolicy {
  /**
   * Chooses the upstream for an attempt.
   *
   * @param nowMs current time by the runtime's clock
   * @returns name of the upstream, or a refusal if none is available
   */
  abstract choose(board: EntryBoard, query: RoutingQuery, nowMs: number): Result<string, Refusal>;

  /** Records that an attempt was sent to an upstream. */
  abstract markSent(board: EntryBoard, upstream: string, query: RoutingQuery): void;

  /** Records that an attempt at an upstream has ended, with any outcome. */
  abstract markEnded(board: EntryBoard, upstream: string): void;

  /** Applies the prefix cache events of an upstream. */
  abstract applyCacheEvents(message: MessageOf<MessageType.CacheEvents>): void;
}
