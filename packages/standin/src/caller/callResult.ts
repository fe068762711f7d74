/** What became of one call, as its caller saw it. */
import { parseObject, readString } from '../http/json.js';

export enum CallVerdict {
  /** Whole, and its content belongs to the request. */
  Correct = 'correct',
  /** Whole by its framing, with other content than belongs to the request. */
  WrongContent = 'wrong-content',
  /** Answered with a problem document. */
  Refused = 'refused',
  /** Answered with an error that is no problem document of radishbay. */
  Failed = 'failed',
  /** The connection broke before the answer was whole. */
  Broken = 'broken',
  /** No connection was made: nothing was sent. */
  NotSent = 'not-sent',
  /** No whole answer within the caller's own bound. */
  TimedOut = 'timed-out',
}

export interface CallResult {
  readonly id: string;
  readonly kind: string;
  readonly verdict: CallVerdict;
  readonly status: number;
  /** Reason of a refusal. */
  readonly reason: string;
  /** `not-run` or `unknown` of a refusal. */
  readonly outcome: string;
  /** Times from the moment at which the call was due, whenever it was really made. */
  readonly firstByteMs: number;
  readonly wholeMs: number;
  /** Times between the events of a streamed answer. */
  readonly gapsMs: readonly number[];
}

/** Reason and outcome of a problem document; undefined where the text is none. */
export function readProblem(text: string): { reason: string; outcome: string } | undefined {
  const problem = parseObject(text);
  if (!problem) return undefined;
  const reason = readString(problem, 'reason', '');
  const outcome = readString(problem, 'outcome', '');
  return reason === '' || outcome === '' ? undefined : { reason, outcome };
}
