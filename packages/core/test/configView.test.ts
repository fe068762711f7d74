import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigView } from '../src/config/configView.js';
import {
  ConfigKind,
  DomainState,
  formatConfigKey,
  parseConfigObject,
} from '../src/config/object.js';

const KEY = formatConfigKey(ConfigKind.Domain, 'zone-a');

function domainAt(version: number, state: string) {
  return { key: KEY, version, value: { name: 'zone-a', state } };
}

test('an older version never replaces a newer one', () => {
  const view = new ConfigView();
  view.apply([domainAt(7, 'drained')], 7, false);
  view.apply([domainAt(5, 'active')], 5, false);
  assert.is(view.get(ConfigKind.Domain, 'zone-a')?.state, DomainState.Drained);
  assert.is(view.revision, 7);
});

test('a bad object leaves the good one in place and names the field', () => {
  const view = new ConfigView();
  view.apply([domainAt(1, 'active')], 1, false);
  view.apply([domainAt(2, 'asleep')], 2, false);
  assert.is(view.get(ConfigKind.Domain, 'zone-a')?.state, DomainState.Active);
  assert.is(view.faults.get(KEY)?.[0]?.field, 'state');
});

test('a full set removes what it does not contain', () => {
  const view = new ConfigView();
  view.apply([domainAt(1, 'active')], 1, false);
  const changed = view.apply([], 3, true);
  assert.equal(changed, [KEY]);
  assert.is(view.get(ConfigKind.Domain, 'zone-a'), undefined);
});

test('a full set older than what is in force changes nothing', () => {
  const view = new ConfigView();
  view.apply([domainAt(4, 'active')], 4, false);
  assert.equal(view.apply([], 3, true), []);
  assert.ok(view.get(ConfigKind.Domain, 'zone-a'));
});

test('a class whose silence limit leaves no time for another try names the field', () => {
  const value = { pool: 'p', pathPrefix: '/', deadlineMs: 2_000, isRepeatable: true };
  const faults = parseConfigObject(ConfigKind.RequestClass, 'c', { ...value, name: 'c' });
  assert.ok(faults.err);
  assert.equal(faults.val[0], {
    key: 'config/class/c',
    field: 'progressTimeoutMs',
    allowed: 'less than deadlineMs',
  });
});

test.run();
