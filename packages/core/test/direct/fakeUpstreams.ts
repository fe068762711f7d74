/** Fake upstreams that record the calls of an entry for the test. */
import {
  UpstreamCaller,
  type CallEvents,
  type CallInProgress,
  type UpstreamCall,
} from '../../src/ports/upstreamCaller.js';

import { FakeCall } from './fakeCall.js';

/** Records calls, in order. */
export class FakeUpstreams extends UpstreamCaller {
  readonly calls: FakeCall[] = [];

  override call(call: UpstreamCall, events: CallEvents): CallInProgress {
    const made = new FakeCall(call, events);
    this.calls.push(made);
    return made;
  }
}
