/**
 * State that entries tell each other beside their in-flight counts.
 *
 * Its fields are optional parts of the message with counts, so an entry of an earlier version
 * ignores them. A full message replaces everything that is known of its sender.
 */
import type { MessageOf, MessageType } from '../messages/message.js';

export type CountsMessage = MessageOf<MessageType.UpstreamCounts>;

/** Optional fields of the message with counts. */
export type CountsFields = Partial<Omit<CountsMessage, 'type' | 'entry' | 'counts' | 'isFull'>>;

/** One kind of state, with what this entry and its peers have told. */
export abstract class PeerState {
  #onChange: (() => void) | undefined;

  /** Sets the listener for changes that are sent with the next batch. */
  setChangeListener(listener: () => void): void {
    this.#onChange = listener;
  }

  /** Schedules a batch with the result of {@link takeChanges}. */
  protected noteChange(): void {
    this.#onChange?.();
  }

  /** Returns this entry's whole state. */
  abstract readFull(nowMs: number): CountsFields;

  /** Returns what has changed since the last message, once; undefined if nothing has. */
  abstract takeChanges(nowMs: number): CountsFields | undefined;

  /** Applies a message of a peer; fields that are missing are unknown. */
  abstract apply(message: CountsMessage, nowMs: number): void;

  /** Forgets a peer whose link is lost. */
  abstract dropPeer(entry: string): void;
}
