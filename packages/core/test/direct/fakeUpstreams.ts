/** Fake upstreams that record the calls of an entry for the test. */
import {
  UpstreamCaller,
  type CallEvents,
  type CallInProgress,
  type UpstreamCall,
} from '../../src/ports/upstreamCaller.js';

import type { UpstreamEntry } from '../../src/direct/directUpstream.js';
import { wait } from '../../src/wait.js';

import { FakeCall } from './fakeCall.js';

/** Time in which a connection is established or refused. */
const CONNECT_MS = 2;

/** Records calls, in order. */
export class FakeUpstreams extends UpstreamCaller {
  readonly calls: FakeCall[] = [];

  /** Ids of upstreams that refuse new connections. */
  readonly refusing = new Set<string>();

  override call(call: UpstreamCall, events: CallEvents): CallInProgress {
    const made = new FakeCall(call, events);
    this.calls.push(made);
    return made;
  }

  override async isRefusingConnections({ id }: UpstreamEntry): Promise<boolean> {
    await wait(CONNECT_MS);
    return this.refusing.has(id);
  }
}
