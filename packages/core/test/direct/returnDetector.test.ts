import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ReturnDetector } from '../../src/direct/returnDetector.js';

const LONGEST_MS = 8_000;

/** Lets callers come for the first time, with time limits spread evenly below the longest. */
function learnFirstAttempts(detector: ReturnDetector, shortestPart: number, nowMs: number): void {
  detector.assess('stream', LONGEST_MS, nowMs);
  Array.from({ length: 60 }, (_, at) => shortestPart + ((1 - shortestPart) * at) / 60).forEach(
    (part) => detector.assess('stream', LONGEST_MS * part, nowMs),
  );
}

test('callers of different patience that come first are not taken for returned ones', () => {
  const detector = new ReturnDetector();
  detector.assess('stream', LONGEST_MS, 0);
  assert.not(detector.assess('stream', LONGEST_MS * 0.9, 0).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.7, 0).isReturned);
});

test('the shortest time of first requests is learned while nobody is refused', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.6, 0);
  assert.not(detector.assess('stream', LONGEST_MS * 0.65, 1).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.5, 1).isReturned);
});

test('callers that all have the same patience make it sharper', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.99, 0);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.95, 1).isReturned);
});

test('nothing is learned from callers that may have come back', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.9, 0);
  detector.noteRefusal(2_000, 10);
  Array.from({ length: 100 }, (_, at) => detector.assess('stream', LONGEST_MS * 0.5, 20 + at));
  assert.ok(detector.assess('stream', LONGEST_MS * 0.5, 200).isReturned);
});

test('a caller that comes back though nobody here refused it changes little', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.9, 0);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.6, 1).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.6, 2).isReturned);
});

test('one caller that names far more time than the others changes little', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.85, 0);
  detector.assess('stream', LONGEST_MS * 400, 1);
  assert.not(detector.assess('stream', LONGEST_MS * 0.95, 2).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.6, 3).isReturned);
});

test('routes that are gone are forgotten', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.99, 0);
  detector.retainRoutes(new Set(['stream']));
  assert.ok(detector.assess('stream', LONGEST_MS * 0.9, 1).isReturned);
  detector.retainRoutes(new Set(['swap']));
  assert.not(detector.assess('stream', LONGEST_MS * 0.9, 2).isReturned);
});

test('routes are learned apart', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.9, 0);
  assert.not(detector.assess('swap', 2_000, 1).isReturned);
  assert.is(detector.assess('swap', 1_900, 1).firstDeadlineMs, 2_000);
});

test.run();
