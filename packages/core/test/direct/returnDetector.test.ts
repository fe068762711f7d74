import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ReturnDetector } from '../../src/direct/returnDetector.js';

const LONGEST_MS = 8_000;

/** Sends first attempts with deadlines spread evenly below the longest. */
function learnFirstAttempts(detector: ReturnDetector, shortestPart: number, nowMs: number): void {
  detector.assess('stream', LONGEST_MS, nowMs);
  Array.from({ length: 60 }, (_, at) => shortestPart + ((1 - shortestPart) * at) / 60).forEach(
    (part) => detector.assess('stream', LONGEST_MS * part, nowMs),
  );
}

test('first attempts with different deadlines are not mistaken for retries', () => {
  const detector = new ReturnDetector();
  detector.assess('stream', LONGEST_MS, 0);
  assert.not(detector.assess('stream', LONGEST_MS * 0.9, 0).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.7, 0).isReturned);
});

test('the shortest deadline of first attempts is learned while no request is refused', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.6, 0);
  assert.not(detector.assess('stream', LONGEST_MS * 0.65, 1).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.5, 1).isReturned);
});

test('callers with equal deadlines narrow the range', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.99, 0);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.95, 1).isReturned);
});

test('nothing is learned from requests that may be retries', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.9, 0);
  detector.noteRefusal(2_000, 10);
  Array.from({ length: 100 }, (_, at) => detector.assess('stream', LONGEST_MS * 0.5, 20 + at));
  assert.ok(detector.assess('stream', LONGEST_MS * 0.5, 200).isReturned);
});

test('a retry of a caller that this entry has not refused changes little', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.9, 0);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.6, 1).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.6, 2).isReturned);
});

test('one caller with a far longer deadline than the others changes little', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.85, 0);
  detector.assess('stream', LONGEST_MS * 400, 1);
  assert.not(detector.assess('stream', LONGEST_MS * 0.95, 2).isReturned);
  assert.ok(detector.assess('stream', LONGEST_MS * 0.6, 3).isReturned);
});

test('removed routes are forgotten', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.99, 0);
  detector.retainRoutes(new Set(['stream']));
  assert.ok(detector.assess('stream', LONGEST_MS * 0.9, 1).isReturned);
  detector.retainRoutes(new Set(['swap']));
  assert.not(detector.assess('stream', LONGEST_MS * 0.9, 2).isReturned);
});

test('each route is learned separately', () => {
  const detector = new ReturnDetector();
  learnFirstAttempts(detector, 0.9, 0);
  assert.not(detector.assess('swap', 2_000, 1).isReturned);
  assert.is(detector.assess('swap', 1_900, 1).firstDeadlineMs, 2_000);
});

test.run();
