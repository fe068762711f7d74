import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  PermitGrantor,
  type LimitedUpstream,
} from '../../../src/direct/requestLimits/permitGrantor.js';
import { chooseGrantor } from '../../../src/direct/requestLimits/permitController.js';
import type { PermitAsk, PermitGrant } from '../../../src/messages/permitMessage.js';
import { Random } from '../../../src/ports/random.js';

const STEP_MS = 20;

function createGrantor(limited: readonly LimitedUpstream[], entryCount: number): PermitGrantor {
  return new PermitGrantor({
    pool: 'models',
    listLimited: () => limited,
    getEntryCount: () => entryCount,
    random: new Random(5),
  });
}

function createAsk(fields: Partial<PermitAsk>): PermitAsk {
  const base = { pool: 'models', session: 1, waiting: 0, expected: 0, received: 0, askedAtMs: 0 };
  return { ...base, ...fields };
}

function countPermits(grant: PermitGrant | undefined): number {
  return Object.values(grant?.permits ?? {}).reduce((sum, count) => sum + count, 0);
}

/** Grants for a time while each entry asks for as much as it wants; @returns permits by entry. */
function grantFor(
  grantor: PermitGrantor,
  spanMs: number,
  asks: Readonly<Record<string, Partial<PermitAsk>>>,
): Readonly<Record<string, number>> {
  const received: Record<string, number> = {};
  for (let nowMs = 0; nowMs < spanMs; nowMs += STEP_MS) {
    Object.entries(asks).forEach(([entry, fields]) =>
      grantor.noteAsk(entry, createAsk({ ...fields, received: received[entry] ?? 0 }), nowMs),
    );
    grantor.grant(nowMs).forEach((grant, entry) => {
      received[entry] = (received[entry] ?? 0) + countPermits(grant);
    });
  }
  return received;
}

const ONE_PER_S = [{ incarnation: 'm-1@1', perS: 1 }];

test('waiting requests get permits before expected ones', () => {
  const asks = { quiet: { waiting: 1 }, busy: { expected: 5 } };
  const received = grantFor(createGrantor(ONE_PER_S, 2), 10_000, asks);
  assert.is(received.busy, undefined);
  assert.ok((received.quiet ?? 0) >= 9);
});

test('entries with waiting requests get permits in turn', () => {
  const asks = { one: { waiting: 9 }, other: { waiting: 1 }, third: { waiting: 3 } };
  const received = grantFor(createGrantor(ONE_PER_S, 3), 30_000, asks);
  Object.values(received).forEach((count) => assert.ok(count >= 9 && count <= 11, `${count}`));
});

test('permits in transit are not granted a second time', () => {
  const grantor = createGrantor([{ incarnation: 'm-1@1', perS: 1_000 }], 1);
  grantor.noteAsk('one', createAsk({ waiting: 2 }), 0);
  grantor.grant(0);
  assert.is(countPermits(grantor.grant(100).get('one')), 2);
  grantor.noteAsk('one', createAsk({ waiting: 2 }), 120);
  assert.is(countPermits(grantor.grant(120).get('one')), 0);
  grantor.noteAsk('one', createAsk({ waiting: 2, received: 2 }), 140);
  assert.is(countPermits(grantor.grant(140).get('one')), 2);
});

test('a new session of an entry does not count the permits of the one before', () => {
  const grantor = createGrantor([{ incarnation: 'm-1@1', perS: 1_000 }], 1);
  grantor.noteAsk('one', createAsk({ waiting: 2 }), 0);
  grantor.grant(0);
  grantor.grant(100);
  grantor.noteAsk('one', createAsk({ session: 2, waiting: 2 }), 120);
  assert.is(countPermits(grantor.grant(200).get('one')), 2);
});

test('a grantor of a minority issues the part of its followers', () => {
  const limited = [{ incarnation: 'm-1@1', perS: 5 }];
  const asks = { one: { waiting: 9 }, two: { waiting: 9 } };
  const total = (received: Readonly<Record<string, number>>): number =>
    Object.values(received).reduce((sum, count) => sum + count, 0);
  const whole = total(grantFor(createGrantor(limited, 3), 20_000, asks));
  assert.ok(whole >= 95 && whole <= 102, `${whole} of 100`);
  const part = total(grantFor(createGrantor(limited, 5), 20_000, asks));
  assert.ok(part >= 37 && part <= 42, `${part} of 40`);
});

test('an entry that asks no more, or says so, is no follower', () => {
  const grantor = createGrantor(ONE_PER_S, 3);
  grantor.noteAsk('one', createAsk({}), 0);
  grantor.noteAsk('two', createAsk({}), 0);
  grantor.noteAsk('two', createAsk({ isLast: true }), 10);
  grantor.grant(20);
  assert.is(grantor.followerCount, 1);
  grantor.grant(5_000);
  assert.is(grantor.followerCount, 0);
});

test('all entries with the same candidates choose the same grantor, and pools differ', () => {
  const names = Array.from({ length: 35 }, (_, at) => `entry-${at}`);
  const chosen = chooseGrantor('models', names);
  assert.is(chooseGrantor('models', [...names].reverse()), chosen);
  const others = names.filter((name) => name !== chosen);
  assert.is.not(chooseGrantor('models', others), chosen);
  const pools = new Set(names.map((pool) => chooseGrantor(pool, names)));
  assert.ok(pools.size > 10);
});

test.run();
