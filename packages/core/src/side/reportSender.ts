/** Tells entries the state of this upstream: at an interval, and at once where it matters. */
import { MessageType, type MessageOf } from '../messages/message.js';
import type { SideReport } from '../model/report.js';

import type { Broadcast } from './engineReportReader.js';
import type { Gate } from './gate.js';
import type { SideOptions } from './sideOptions.js';
import { isDrained, isStopped } from './submissionCheck.js';

type ReportMessage = MessageOf<MessageType.Report>;

function isUrgentChange(before: SideReport | undefined, after: SideReport): boolean {
  if (!before) return true;
  if (before.limit !== after.limit || before.warmth !== after.warmth) return true;
  return before.isLeaving !== after.isLeaving || before.isDrained !== after.isDrained;
}

/** Intervals for which a report that says nothing new may be left out. */
const QUIET_INTERVALS = 4;

function isSame(before: SideReport | undefined, after: SideReport): boolean {
  return before !== undefined && JSON.stringify(before) === JSON.stringify(after);
}

/** Sends reports. */
export class ReportSender {
  readonly #options: SideOptions;

  readonly #gate: Gate;

  readonly #broadcast: Broadcast;

  #last: SideReport | undefined;

  /** Intervals since the last report. */
  #quietIntervals = 0;

  constructor(options: SideOptions, gate: Gate, broadcast: Broadcast) {
    this.#options = options;
    this.#gate = gate;
    this.#broadcast = broadcast;
  }

  /** Sends a report to all entries. */
  send(): void {
    const message = this.build();
    this.#last = message.report;
    this.#quietIntervals = 0;
    this.#broadcast(message);
  }

  /** Called once an interval: sends a report that says something new, or is due all the same. */
  sendIfNew(): void {
    this.#quietIntervals += 1;
    const isDue = this.#quietIntervals >= QUIET_INTERVALS;
    if (isDue || !isSame(this.#last, this.build().report)) this.send();
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
        firstTokenMs: this.#gate.firstTokenMs,
        serviceMs: this.#gate.serviceMs,
        stepMs: this.#gate.stepMs,
        models: [...(report?.models ?? [])],
      },
    };
  }
}
