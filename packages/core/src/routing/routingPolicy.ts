/** What routing decides: the upstream for an attempt. */
import type { Refusal } from '../model/reason.js';
import type { MessageOf, MessageType } from '../messages/message.js';
import type { Result } from '../outcome.js';
import type { EntryBoard } from '../state/entryBoard.js';

/** What an attempt asks of an upstream. */
export interface RoutingQuery {
  readonly pool: string;
  /** Model that the upstream must have loaded; undefined for plain services. */
  readonly model: string | undefined;
  readonly prefixHashes: readonly string[];
  /** Upstreams that must not be chosen. */
  readonly excludedUpstreams: ReadonlySet<string>;
  /** Failure domains that are chosen only where no other is left. */
  readonly avoidedDomains: ReadonlySet<string>;
  readonly remainingMs: number;
  readonly isRepeatable: boolean;
}

/** Chooses among upstreams. */
export abstract class RoutingPolicy {
  /**
   * Chooses the upstream for an attempt.
   *
   * @param nowMs time by the runtime's clock
   * @returns the upstream's name, or a refusal
   */
  abstract choose(board: EntryBoard, query: RoutingQuery, nowMs: number): Result<string, Refusal>;

  /** Notes that an attempt was sent to an upstream. */
  abstract markSent(board: EntryBoard, upstream: string, query: RoutingQuery): void;

  /** Notes that an attempt at an upstream has ended, whatever its outcome. */
  abstract markEnded(board: EntryBoard, upstream: string): void;

  /** Takes in cache events of an upstream. */
  abstract readCacheEvents(message: MessageOf<MessageType.CacheEvents>): void;
}
