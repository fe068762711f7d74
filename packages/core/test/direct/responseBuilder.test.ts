/** Guards against a response that goes on after its request was ended for lack of memory. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ResponseBuilder } from '../../src/direct/responseBuilder.js';
import { RestHistory } from '../../src/direct/restHistory.js';
import { AnswerFraming, Caller } from '../../src/ports/caller.js';
import type { AnswerHead } from '../../src/ports/upstreamCaller.js';

/** Caller whose request is refused as soon as it needs memory. */
class ShortCaller extends Caller {
  isRefused = false;

  override holdMemory(): boolean {
    this.isRefused = true;
    return false;
  }

  override writeHead(): void {
    if (this.isRefused) throw new Error('the head has been sent already');
  }

  override writeData(): boolean {
    if (this.isRefused) throw new Error('the response has ended already');
    return true;
  }

  override end(): void {}

  override abort(): void {}

  override refuse(): void {}

  override onDrain(): void {}

  override onDisconnect(): void {}
}

test('no event is forwarded once holding the next one has ended the request', () => {
  const response = new ResponseBuilder({
    caller: new ShortCaller(),
    isStream: true,
    rests: new RestHistory(),
  });
  response.begin({
    status: 200,
    headers: {},
    framing: AnswerFraming.Delimited,
    isNotRun: false,
    isMisdirected: false,
    isLeaving: false,
  } as AnswerHead);
  const result = response.push(Buffer.from('data: 1\n\ndata: 2'));
  assert.is(result.events, 0);
  assert.not(response.isCommitted);
});

test.run();
