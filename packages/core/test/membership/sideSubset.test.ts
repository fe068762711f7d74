import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { ConfigChange } from '../../src/config/configView.js';
import { chooseSubset } from '../../src/membership/sideSubset.js';
import { EntryBoard } from '../../src/state/entryBoard.js';

const REGIONS = 2;
const DOMAINS = 6;
const POOLS = 3;
const UPSTREAMS = 1_200;
const ENTRIES = 40;

function createConfig(): readonly ConfigChange[] {
  const put = (key: string, value: object) => ({ key: `config/${key}`, version: 1, value });
  const list = <T>(count: number, create: (index: number) => T): readonly T[] =>
    Array.from({ length: count }, (_, index) => create(index));
  return [
    ...list(DOMAINS, (index) =>
      put(`domain/d${index}`, { name: `d${index}`, region: `r${index % REGIONS}` }),
    ),
    ...list(UPSTREAMS, (index) =>
      put(`upstream/u${index}`, {
        name: `u${index}`,
        pool: `p${index % POOLS}`,
        domain: `d${Math.floor(index / POOLS) % DOMAINS}`,
        address: '127.0.0.1:7000',
        warmLimit: 4,
        coldLimit: 1,
      }),
    ),
  ];
}

function createBoards(): readonly EntryBoard[] {
  const names = Array.from({ length: ENTRIES }, (_, index) => `entry-${index}`);
  const regionOf = (index: number) => `r${index % REGIONS}`;
  return names.map((name, index) => {
    const board = new EntryBoard(name, 'one', `d${index % DOMAINS}`, regionOf(index));
    board.config.apply(createConfig(), 1, true);
    names.forEach((other, otherIndex) => {
      if (other === name) return;
      board.peers.set(other, {
        name: other,
        address: '',
        region: regionOf(otherIndex),
        incarnation: '',
        link: undefined,
        lastReceivedAtMs: 0,
        configRevision: 0,
      });
    });
    return board;
  });
}

const BOARDS = createBoards();
const SUBSETS = BOARDS.map((board) => chooseSubset(board));

test('at least three entries keep a link to each upstream', () => {
  const linkCounts = new Map<string, number>();
  SUBSETS.flat().forEach(({ name }) => linkCounts.set(name, (linkCounts.get(name) ?? 0) + 1));
  assert.is(linkCounts.size, UPSTREAMS);
  assert.ok(Math.min(...linkCounts.values()) >= 3);
});

test('each entry links to every pool in every domain of its region and in the other region', () => {
  SUBSETS.forEach((subset, index) => {
    const local = subset.filter(({ domain }) => Number(domain.slice(1)) % REGIONS === index % 2);
    const locations = new Set(local.map(({ pool, domain }) => `${pool}/${domain}`));
    assert.is(locations.size, POOLS * (DOMAINS / REGIONS));
    const remote = new Set(subset.filter((one) => !local.includes(one)).map(({ pool }) => pool));
    assert.is(remote.size, POOLS);
  });
});

test('no entry has more than 1.5 times its share of the links', () => {
  const share = (3 * UPSTREAMS) / ENTRIES;
  const most = Math.max(...SUBSETS.map((subset) => subset.length));
  assert.ok(most < share * 1.5, `${most} links`);
});

test('removing an entry closes no links of the remaining ones', () => {
  const board = createBoards()[0];
  if (!board) throw new Error('no entries');
  const before = new Set(chooseSubset(board).map(({ name }) => name));
  board.peers.delete('entry-2');
  const after = new Set(chooseSubset(board).map(({ name }) => name));
  assert.equal(
    [...before].filter((name) => !after.has(name)),
    [],
  );
});

test.run();
