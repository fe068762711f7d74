/** Reports the state of this upstream to entries: at an interval, and at once if urgent. */
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

/** An unchanged report is sent only once in this number of intervals. */
const MAX_UNCHANGED_INTERVALS = 4;

function isEqual(before: SideReport | undefined, after: SideReport): boolean {
  return before !== undefined && JSON.stringify(before) === JSON.stringify(after);
}

/** Builds reports and broadcasts them to entries. */
export class ReportSender {
  readonly #options: SideOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #broadcast: Broadcast;

  #last: SideReport | undefined;

  /** Report intervals since the last report was sent. */
  #intervalsSinceSend = 0;

  constructor(options: SideOptions, limiter: ConcurrencyLimiter, broadcast: Broadcast) {
    this.#options = options;
    this.#limiter = limiter;
    this.#broadcast = broadcast;
  }

  /** Sends a report to all entries. */
  send(): void {
    const message = this.build();
    this.#last = message.report;
    this.#intervalsSinceSend = 0;
    this.#broadcast(message);
  }

  /** Called once per interval: sends a report if it has changed or is due anyway. */
  sendIfChanged(): void {
    this.#intervalsSinceSend += 1;
    const isDue = this.#intervalsSinceSend >= MAX_UNCHANGED_INTERVALS;
    if (isDue || !isEqual(this.#last, this.build().report)) this.send();
  }

  /** Sends a report if limit, warmth, `isLeaving` or `isDrained` differ from the last one. */
  sendIfUrgent(): void {
    if (isUrgentChange(this.#last, this.build().report)) this.send();
  }

  /** Builds a report of the current state. */
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
