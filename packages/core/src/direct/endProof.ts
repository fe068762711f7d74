/**
 * Judges whether a stream is complete, from the ends of all responses to its request.
 *
 * A response that has a length or chunks shows its own end. One that ends with its connection looks
 * the same whether it is whole or was cut off between two events, so a further response has to show
 * that no event follows. If that one is unframed as well and has no event, it shows nothing, as it
 * may have been cut off before its first event. The next one is therefore asked to repeat the last
 * event: if it gives just this event, it ends where the stream ended before.
 */
import { ResponseEnd } from './responseEnd.js';

/** A response that has ended regularly, between two events. */
export interface EndedResponse {
  readonly upstream: string;
  /** Whether it shows its own end. */
  readonly isDelimited: boolean;
  /** Whether it had events that the caller did not have. */
  readonly hasNewEvents: boolean;
  /** Whether it repeated the caller's last event. */
  readonly hasRepeatedEvent: boolean;
}

/** What is known about the end of one stream. */
export class EndProof {
  /** Upstreams whose responses ended after the caller's last event, in order. */
  readonly #ended = new Set<string>();

  /** Those of them whose end shows something. */
  readonly #claimants = new Set<string>();

  readonly #mayBeEnded: boolean;

  #isInconclusive = false;

  /** @param mayBeEnded whether a response without events is to be expected from the start */
  constructor(mayBeEnded: boolean) {
    this.#mayBeEnded = mayBeEnded;
  }

  /** Whether a response has claimed that the stream ends after the caller's last event. */
  get isClaimed(): boolean {
    return this.#claimants.size > 0;
  }

  /** Whether an unframed response without events has been received, which shows nothing. */
  get isInconclusive(): boolean {
    return this.#isInconclusive;
  }

  /** Upstreams whose responses ended regularly after the caller's last event, the latest first. */
  get endedUpstreams(): readonly string[] {
    return [...this.#ended].reverse();
  }

  /** Discards what is known, as the stream has more events. */
  reset(): void {
    this.#ended.clear();
    this.#claimants.clear();
    this.#isInconclusive = false;
  }

  /** Adds the end of a response; new events of it have been reported by {@link reset}. */
  add({ upstream, isDelimited, hasNewEvents, hasRepeatedEvent }: EndedResponse): ResponseEnd {
    const hasEvents = hasNewEvents || hasRepeatedEvent;
    if (isDelimited && hasEvents) return ResponseEnd.Complete;
    this.#ended.add(upstream);
    if (!isDelimited && !hasEvents) {
      const isExpected = this.#mayBeEnded || this.isClaimed || this.#isInconclusive;
      this.#isInconclusive = true;
      return isExpected ? ResponseEnd.Inconclusive : ResponseEnd.Empty;
    }
    // An upstream that does not resume as it should can deny further events more than once.
    const isConfirmed = isDelimited
      ? [...this.#claimants].some((claimant) => claimant !== upstream)
      : !hasNewEvents && this.isClaimed;
    if (isConfirmed) return ResponseEnd.Complete;
    this.#claimants.add(upstream);
    return ResponseEnd.Unconfirmed;
  }
}
