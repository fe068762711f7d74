import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EventSplitter, findFirstId, skipEvents } from '../../src/direct/eventSplitter.js';

function splitAt(text: string, cuts: readonly number[]): readonly string[] {
  const sorted = [...new Set(cuts.map((cut) => cut % text.length))].sort((a, b) => a - b);
  const edges = [0, ...sorted, text.length];
  return edges.slice(1).map((edge, at) => text.slice(edges[at], edge));
}

test('however a stream is split into chunks, each complete event is returned once and in order', () => {
  const lineEnd = fc.constantFrom('\n', '\r\n');
  const event = fc.tuple(fc.nat(99), fc.stringMatching(/^[a-z ]{0,8}$/u), lineEnd);
  fc.assert(
    fc.property(fc.array(event, { minLength: 1 }), fc.array(fc.nat()), (events, cuts) => {
      const texts = events.map(([id, data, end]) => `id: ${id}${end}data: ${data}${end}${end}`);
      const splitter = new EventSplitter();
      const out = splitAt(texts.join(''), cuts).map((part) => splitter.push(Buffer.from(part)));
      const whole = out.map((each) => each?.data.toString() ?? '').join('');
      assert.is(whole, texts.join(''));
      assert.is(
        out.reduce((sum, each) => sum + (each?.count ?? 0), 0),
        texts.length,
      );
      const last = out.filter((each) => each).pop();
      assert.is(last?.ids.at(-1), String(events[events.length - 1]?.[0]));
      assert.not.ok(splitter.isMidEvent);
    }),
  );
});

test('an incomplete event is held back', () => {
  const splitter = new EventSplitter();
  const first = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
  assert.is(first?.data.toString(), 'id: 1\ndata: a\n\n');
  assert.is(first?.ids.at(-1), '1');
  assert.ok(splitter.isMidEvent);
});

test('events are found and removed, however they are written', () => {
  const end = fc.constantFrom('\n', '\r\n');
  const body = fc.constantFrom('data: a', 'data: \u{1f514}', 'event: note', ': id: 9');
  const blankLines = fc.nat(2);
  const event = fc.tuple(end, body, body, blankLines).map(([lineEnd, first, last, blank]) => ({
    write: (id: string) =>
      [first, `id: ${id}`, last, '', ...Array.from({ length: blank }, () => '')].join(lineEnd),
    lineEnd,
  }));
  const comment = end.map((lineEnd) => `: comment${lineEnd}${lineEnd}`);
  fc.assert(
    fc.property(fc.array(comment), event, fc.array(event), (comments, first, others) => {
      const start = `${comments.join('')}${first.write('1')}${first.lineEnd}`;
      const rest = others.map(({ write, lineEnd }, at) => write(String(at + 2)) + lineEnd).join('');
      const events = new EventSplitter().push(Buffer.from(start + rest));
      assert.ok(events);
      const found = findFirstId(events);
      assert.equal(found, { id: '1', index: comments.length });
      const kept = skipEvents(events, comments.length + 1);
      assert.equal([kept.data.toString().trim(), kept.count], [rest.trim(), others.length]);
      assert.equal(
        kept.ids,
        others.map((_, at) => String(at + 2)),
      );
    }),
  );
});

['\n', '\r\n', ': comment\n', ': comment', '\n: comment\n\n'].forEach((text) => {
  test(`${JSON.stringify(text)} behind an event is no part of one`, () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(`id: 1\n\n${text}`));
    assert.not.ok(splitter.isMidEvent);
    splitter.push(Buffer.from('\nd'));
    assert.ok(splitter.isMidEvent);
  });
});

test.run();
