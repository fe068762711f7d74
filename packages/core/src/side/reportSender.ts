/** Tells entries the state of this upstream: at an interval, and at once where it matters. */
import { MessageType, type MessageOf } from '../messages/message.js';
import type { SideReport } from '../model/report.js';

import type { Broadcast } from './engineReportPoller.js';
import type { ConcurrencyLimiter } from './concurrencyLimiter.js';
import type { SideOptions } from './sideOptions.js';
import { isDrained, isStopped } from './submissionCheck.js';

type ReportMessage = MessageOf<MessageType.Report>;

function isUrgentChange(before: SideReport | undefined, after: SideReport): boolean {
  if (!before) return true;
  if (before.limit !== after.limit || before.warmth !== after.warmth) return true;
  return before.isLeaving !== after.isLeaving || before.isDrained !== after.isDrained;
}

/** Intervals for which a report that says nothing new may be left out. */
const MAX_UNCHANGED_INTERVALS = 4;

function isEqual(before: SideReport | undefined, after: SideReport): boolean {
  return before !== undefined && JSON.stringify(before) === JSON.stringify(after);
}

/** Sends reports. */
export class ReportSender {
  readonly #options: SideOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #broadcast: Broadcast;

  #last: SideReport | undefined;

  /** Intervals since the last report. */
  #intervalsSinceSend = 0;

  constructor(options: SideOptions, gate: ConcurrencyLimiter, broadcast: Broadcast) {
    this.#options = options;
    this.#limiter = gate;
    this.#broadcast = broadcast;
  }

  /** Sends a report to all entries. */
  send(): void {
    const message = this.build();
    this.#last = message.report;
    this.#intervalsSinceSend = 0;
    this.#broadcast(message);
  }

  /** Called once an interval: sends a report that says something new, or is due all the same. */
  sendIfChanged(): void {
    this.#intervalsSinceSend += 1;
    const isDue = this.#intervalsSinceSend >= MAX_UNCHANGED_INTERVALS;
    if (isDue || !isEqual(this.#last, this.build().report)) this.send();
  }

  /** Sends a report where limit, warmth, leaving or drained differ from the last one. */
  sendIfUrgent(): void {
    if (isUrgentChange(this.#last, this.build().report)) this.send();
  }

  /** Builds the report of this moment. */
  build(): ReportMessage {
    const { board } = this.#options;
    const { report } = board;
    return {
      type: MessageType.Report,
      report: {
        upstream: board.upstream,
        engineIncarnation: report?.engineIncarnation ?? '',
        inFlight: board.inFlight,
        limit: board.limit,
        warmth: board.warmth,
        isLeaving: board.isLeaving || board.isStopping || isStopped(board),
        isDrained: isDrained(board),
        kvUsedShare: report?.kvUsedShare ?? 0,
        queued: report?.queued ?? 0,
        tokensPerSecond: report?.tokensPerSecond ?? 0,
        firstTokenMs: this.#limiter.firstTokenMs,
        serviceMs: this.#limiter.serviceMs,
        stepMs: this.#limiter.stepMs,
        models: [...(report?.models ?? [])],
      },
    };
  }
}
