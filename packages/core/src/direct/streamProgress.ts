/**
 * Follows the events of a stream through all responses to its request: which of them the caller
 * has, where the next response is to go on, and whether the stream is complete.
 */
import { AnswerFraming } from '../ports/caller.js';

import { EndProof } from './endProof.js';
import { EventSequence, isLaterId, listPrecedingIds } from './eventSequence.js';
import { findFirstId, skipEvents, type CompleteEvents } from './eventSplitter.js';
import { ResponseEnd } from './responseEnd.js';
import type { RestHistory } from './restHistory.js';

/** Largest number of events that an upstream is asked to repeat. */
const REPEATED_EVENTS_MAX = 3;

/** Confirmations of an end that is claimed, and where responses of the pool were cut off lately. */
const CONFIRMATIONS = 1;
const DOUBTFUL_CONFIRMATIONS = 2;

/** What becomes of events that have been received. */
export interface AcceptedEvents {
  /** Events to forward; undefined where there are none. */
  readonly events: CompleteEvents | undefined;
  /** Whether the response goes on elsewhere than after the caller's last event. */
  readonly isMisplaced: boolean;
}

/** Events that an attempt is to repeat, before any new ones. */
interface RepeatPlan {
  /** Id of the event before them; undefined for the start of the stream. */
  readonly afterId: string | undefined;
  readonly ids: readonly string[];
}

const NOTHING: AcceptedEvents = { events: undefined, isMisplaced: false };

const MISPLACED: AcceptedEvents = { events: undefined, isMisplaced: true };

/** Progress of one stream. */
export class StreamProgress {
  readonly #rests: RestHistory;

  /** Id of the event after which the caller itself resumes the stream. */
  readonly #resumeAfterId: string | undefined;

  /** Events that the caller has received. */
  readonly #sequence = new EventSequence();

  readonly #endProof: EndProof;

  /** Ids of the events that the current attempt has still to repeat. */
  #repeatsDue: readonly string[] = [];

  #repeatedEvents = 0;

  #newEvents = 0;

  #isResumed = false;

  /** @param resumeAfterId id of the event after which the caller resumes the stream, if it does */
  constructor(rests: RestHistory, resumeAfterId: string | undefined) {
    this.#rests = rests;
    this.#resumeAfterId = resumeAfterId;
    this.#endProof = new EndProof(resumeAfterId !== undefined);
  }

  /** Id of the last event that was sent to the caller. */
  get lastEventId(): string | undefined {
    return this.#sequence.lastId;
  }

  /** Whether an attempt has claimed that the stream ends after the caller's last event. */
  get isEndClaimed(): boolean {
    return this.#endProof.isClaimed;
  }

  /**
   * Upstreams that can be asked to repeat the caller's last events, in order of preference: those
   * whose responses ended regularly after them.
   */
  get endedUpstreams(): readonly string[] {
    return this.#planRepeat() ? this.#endProof.endedUpstreams : [];
  }

  /**
   * Prepares for an attempt.
   *
   * @returns id of the event after which it is to resume the stream; undefined where it starts
   *   where the caller's request does
   */
  prepareAttempt(upstream: string): string | undefined {
    const plan = this.#isRepeatUseful(upstream) ? this.#planRepeat() : undefined;
    this.#repeatsDue = plan?.ids ?? [];
    this.#repeatedEvents = 0;
    this.#newEvents = 0;
    this.#isResumed = plan !== undefined || this.#sequence.lastId !== undefined;
    return plan ? plan.afterId : this.#sequence.lastId;
  }

  #isRepeatUseful(upstream: string): boolean {
    const { isClaimed, isInconclusive, endedUpstreams } = this.#endProof;
    const isRestInconclusive = isClaimed && this.#rests.areUnframed;
    return isInconclusive || isRestInconclusive || endedUpstreams.includes(upstream);
  }

  #planRepeat(): RepeatPlan | undefined {
    const known = this.#listKnownIds();
    const isFromStart = this.#resumeAfterId === undefined && known.length === this.#sequence.count;
    const countMax = Math.min(REPEATED_EVENTS_MAX, known.length - (isFromStart ? 0 : 1));
    const counts = Array.from({ length: Math.max(0, countMax) }, (_, at) => at + 1);
    const count = this.#endProof.chooseRepeats(counts);
    if (count === undefined) return undefined;
    return { afterId: known.at(-count - 1), ids: known.slice(-count) };
  }

  /** Lists the ids of the last events that the caller has, also from before its request. */
  #listKnownIds(): readonly string[] {
    const { recentIds, count } = this.#sequence;
    if (this.#resumeAfterId === undefined || count > recentIds.length) return recentIds;
    const precedingIds = listPrecedingIds(this.#resumeAfterId, recentIds[0], REPEATED_EVENTS_MAX);
    return [...precedingIds, this.#resumeAfterId, ...recentIds];
  }

  /** Accepts complete events of the current attempt's response. */
  accept(received: CompleteEvents): AcceptedEvents {
    const events = this.#skipRepeats(received);
    if (events.count === 0) return NOTHING;
    if (events.isComment) {
      return this.isEndClaimed && this.#newEvents === 0 ? NOTHING : { events, isMisplaced: false };
    }
    if (this.#newEvents === 0 && !this.#canGoOnWith(events.ids[0])) return MISPLACED;
    this.#newEvents += events.count;
    this.#refuteEnd();
    this.#sequence.append(events.ids);
    return { events, isMisplaced: false };
  }

  #skipRepeats(received: CompleteEvents): CompleteEvents {
    let events = received;
    while (this.#repeatsDue.length > 0) {
      const [dueId, ...laterIds] = this.#repeatsDue;
      const first = findFirstId(events);
      if (!first || first.id !== dueId) break;
      this.#repeatsDue = laterIds;
      this.#repeatedEvents += 1;
      events = skipEvents(events, first.index + 1);
    }
    return events;
  }

  /** Whether the first new event of an attempt can have an id, undefined if it has none. */
  #canGoOnWith(id: string | undefined): boolean {
    if (this.#sequence.lastId !== undefined) return this.#sequence.canFollow(id);
    if (this.#resumeAfterId === undefined || !this.#isResumed) return true;
    return isLaterId(id, this.#resumeAfterId);
  }

  /** Records that the current attempt's response has part of a further event, and no more. */
  noteIncompleteEvent(): void {
    if (this.#repeatsDue.length === 0) this.#refuteEnd();
  }

  /** Records that the connection of a response ended regularly within an event. */
  noteCut(): void {
    this.#rests.noteCut(performance.now());
  }

  #refuteEnd(): void {
    if (this.isEndClaimed) this.#rests.noteCut(performance.now());
    this.#endProof.reset();
  }

  /** Assesses the end of the current attempt's response, between two events. */
  assessEnd(upstream: string, framing: AnswerFraming): ResponseEnd {
    const isDelimited = framing === AnswerFraming.Delimited;
    if (isDelimited && !this.#isResumed) return ResponseEnd.Complete;
    if (this.#isResumed) this.#rests.noteEnd(framing);
    if ((this.#sequence.lastId ?? this.#resumeAfterId) === undefined) return ResponseEnd.Empty;
    const response = {
      upstream,
      isDelimited,
      newEvents: this.#newEvents,
      repeatedEvents: this.#repeatedEvents,
      lacksRepeats: this.#repeatsDue.length > 0,
    };
    const isDoubtful = this.#rests.hasCuts(performance.now());
    return this.#endProof.add(response, isDoubtful ? DOUBTFUL_CONFIRMATIONS : CONFIRMATIONS);
  }
}
