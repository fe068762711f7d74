/**
 * Judges whether a stream is complete, from the ends of all responses to its request.
 *
 * A response that has a length or chunks shows its own end. One that ends with its connection looks
 * the same whether it is whole or was cut off between two events: it only claims an end. A further
 * response has to show that no event follows. If that one is unframed as well and has no event, it
 * shows nothing, as it may have been cut off before its first event. The next one is therefore
 * asked to repeat the last events: if it gives just these, it ends where the stream ended before.
 *
 * What remains is that two responses are cut off at the same event. The number of repeated events
 * differs from that of the response that it confirms, as an upstream could break off after a fixed
 * number.
 */
import { ResponseEnd } from './responseEnd.js';

/** Responses without the events that they were to repeat, after which no more are requested. */
const UNREPEATED_MAX = 3;

/** A response that has ended regularly, between two events. */
export interface EndedResponse {
  readonly upstream: string;
  /** Whether it shows its own end. */
  readonly isDelimited: boolean;
  /** Number of events that the caller did not have. */
  readonly newEvents: number;
  /** Number of events that it repeated as requested. */
  readonly repeatedEvents: number;
  /** Whether it ended before it had repeated all events that were requested. */
  readonly lacksRepeats: boolean;
}

/** What is known about the end of one stream. */
export class EndProof {
  /** Upstreams whose responses ended regularly after the caller's last event, the latest last. */
  readonly #ended = new Set<string>();

  /** Those of them whose responses claim that no event follows. */
  readonly #claimants = new Set<string>();

  /** Numbers of events after which unframed responses that claim an end have ended. */
  readonly #claimedCounts = new Set<number>();

  /** Numbers of repeated events by which the end was confirmed. */
  readonly #confirmedCounts = new Set<number>();

  readonly #mayBeEnded: boolean;

  #confirmations = 0;

  /** Responses that ended without the events that they were to repeat. */
  #unrepeatedCount = 0;

  #isInconclusive = false;

  /** @param mayBeEnded whether a response without events is to be expected from the start */
  constructor(mayBeEnded: boolean) {
    this.#mayBeEnded = mayBeEnded;
  }

  /** Whether a response has claimed that the stream ends after the caller's last event. */
  get isClaimed(): boolean {
    return this.#claimants.size > 0;
  }

  /** Whether a response that shows nothing has been received. */
  get isInconclusive(): boolean {
    return this.#isInconclusive;
  }

  /**
   * Upstreams that may repeat the last events: those whose responses ended regularly after them,
   * unless too many did not repeat them. The one that was asked longest ago comes first.
   */
  get endedUpstreams(): readonly string[] {
    return this.#unrepeatedCount < UNREPEATED_MAX ? [...this.#ended] : [];
  }

  /**
   * Chooses how many events the next response is to repeat, if possible another number than those
   * before.
   *
   * @param possibleCounts numbers that can be requested, in order of preference
   * @returns undefined where none of them would confirm an end
   */
  chooseRepeats(possibleCounts: readonly number[]): number | undefined {
    const counts = possibleCounts.filter((count) => !this.#claimedCounts.has(count));
    return counts.find((count) => !this.#confirmedCounts.has(count)) ?? counts[0];
  }

  /** Discards what is known, as the stream has more events. */
  reset(): void {
    this.#ended.clear();
    this.#claimants.clear();
    this.#claimedCounts.clear();
    this.#confirmedCounts.clear();
    this.#confirmations = 0;
    this.#unrepeatedCount = 0;
    this.#isInconclusive = false;
  }

  /**
   * Adds the end of a response; new events of it have been reported by {@link reset}.
   *
   * @param confirmationsNeeded number of unframed responses that have to confirm a claim
   */
  add(response: EndedResponse, confirmationsNeeded: number): ResponseEnd {
    const { upstream, isDelimited, newEvents, repeatedEvents, lacksRepeats } = response;
    const hasProgress = newEvents > 0 || (repeatedEvents > 0 && !lacksRepeats);
    if (isDelimited && hasProgress) return ResponseEnd.Complete;
    this.#ended.delete(upstream);
    this.#ended.add(upstream);
    if (lacksRepeats) this.#unrepeatedCount += 1;
    if (!hasProgress) {
      return isDelimited && repeatedEvents === 0
        ? this.#addDenial(upstream)
        : this.#addInconclusive();
    }
    if (newEvents === 0 && this.isClaimed) {
      this.#confirmedCounts.add(repeatedEvents);
      this.#confirmations += 1;
    } else this.#claimedCounts.add(newEvents + repeatedEvents);
    if (this.#confirmations >= confirmationsNeeded) return ResponseEnd.Complete;
    this.#claimants.add(upstream);
    return ResponseEnd.Unconfirmed;
  }

  /** Adds a delimited response without events; an upstream that cannot resume may repeat that. */
  #addDenial(upstream: string): ResponseEnd {
    const isConfirmed = [...this.#claimants].some((claimant) => claimant !== upstream);
    if (isConfirmed) return ResponseEnd.Complete;
    this.#claimants.add(upstream);
    return ResponseEnd.Unconfirmed;
  }

  #addInconclusive(): ResponseEnd {
    const isExpected = this.#mayBeEnded || this.isClaimed || this.#isInconclusive;
    this.#isInconclusive = true;
    return isExpected ? ResponseEnd.Inconclusive : ResponseEnd.Empty;
  }
}
