import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType } from '../../src/messages/message.js';

import { answerOf } from './fakeEngine.js';
import { withSide } from './sideFixture.js';

test('an admitted attempt streams its head, its bytes in order and its end', () =>
  withSide(async ({ clock }, entry) => {
    entry.submit('a1');
    await clock.tickAsync(500);
    assert.is(entry.listTypes('a1')[0], MessageType.Head);
    assert.equal(entry.readAnswer('a1'), answerOf('a1', 30));
    assert.is(entry.list(MessageType.End)[0]?.totalBytes, 30);
  }));

test.run();
