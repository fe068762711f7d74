import { install, type Clock } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Deadline } from '@radishbay/core/lease/deadline.js';
import { ConfigLease, type PeerProof } from '@radishbay/core/membership/configLease.js';
import { EntryBoard } from '@radishbay/core/state/entryBoard.js';

const LEASE_MS = 2_000;
const REVISION = 7;

let clock: Clock;
let board: EntryBoard;
let lease: ConfigLease;

function proveByPeer(peer: string, proof: Partial<PeerProof> = {}): void {
  lease.addPeerProof({
    peer,
    configRevision: REVISION,
    confirmedAgeMs: undefined,
    leaseEnd: Deadline.after(LEASE_MS),
    ...proof,
  });
}

test.before.each(() => {
  clock = install();
  board = new EntryBoard('entry-a', 'one', 'zone-a', 'main');
  board.config.apply([], REVISION, true);
  lease = new ConfigLease({ board, configLeaseMs: LEASE_MS });
  lease.setPeers(new Set(['entry-b', 'entry-c', 'entry-d', 'entry-e']), true);
});

test.after.each(() => clock.uninstall());

test('a proof from the platform renews the lease only of a registered entry', () => {
  lease.renew(Deadline.after(LEASE_MS));
  assert.not.ok(board.isCurrent);
  lease.confirmRegistration(Deadline.after(60_000));
  assert.ok(board.isCurrent);
});

test('proofs of peers renew the lease only with a majority that includes this entry', () => {
  proveByPeer('entry-b');
  assert.not.ok(board.isCurrent);
  proveByPeer('entry-c');
  assert.ok(board.isCurrent);
});

test('a peer with a newer revision does not count towards the majority', () => {
  proveByPeer('entry-b');
  proveByPeer('entry-c', { configRevision: REVISION + 1 });
  assert.not.ok(board.isCurrent);
});

test("a relayed proof from the platform renews the lease only from the time of the peer's own proof", () => {
  lease.confirmRegistration(Deadline.after(60_000));
  proveByPeer('entry-b', { confirmedAgeMs: 1_500 });
  clock.tick(400);
  assert.ok(board.isCurrent);
  clock.tick(100);
  assert.not.ok(board.isCurrent);
});

test('an entry that knows no peers has no majority until the list of entries has been read', () => {
  lease.setPeers(new Set(), false);
  assert.not.ok(board.isCurrent);
  lease.setPeers(new Set(), true);
  assert.ok(board.isCurrent);
});

test('the lease expires by the wall clock even if the monotonic clock does not advance', () => {
  proveByPeer('entry-b');
  proveByPeer('entry-c');
  clock.setSystemTime(Date.now() + LEASE_MS);
  assert.not.ok(board.isCurrent);
});

test.run();
