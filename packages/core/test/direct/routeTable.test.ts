import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { choosePool, RouteTable } from '../../src/direct/routeTable.js';

import { CONTENT } from './directFixture.js';

const [STREAM] = CONTENT.routes;

function createTable(prefixes: readonly string[]): RouteTable {
  const routes = prefixes.flatMap((pathPrefix) =>
    STREAM ? [{ ...STREAM, name: pathPrefix, pathPrefix }] : [],
  );
  return new RouteTable({ ...CONTENT, routes });
}

test('the longest prefix that matches the path wins', () => {
  const table = createTable(['/a/', '/a/b/', '/']);
  assert.is(table.findRoute('choir.example', '/a/b/c')?.name, '/a/b/');
  assert.is(table.findRoute('choir.example', '/a/bc')?.name, '/a/');
  assert.is(table.findRoute('choir.example', '/x?y=/a/')?.name, '/');
  assert.is(table.findRoute('CHOIR.example:8080', '/a/')?.name, '/a/');
});

test('an unmatched path and an unknown host have no route', () => {
  const table = createTable(['/a/']);
  assert.is(table.findRoute('choir.example', '/a'), undefined);
  assert.is(table.findRoute('other.example', '/a/b'), undefined);
});

test('pools receive requests by their weights', () => {
  if (!STREAM) throw new Error('no route');
  const shares = [
    { pool: 'old', weight: 90 },
    { pool: 'new', weight: 10 },
  ];
  const draws = Array.from({ length: 100 }, (_, at) => choosePool({ ...STREAM, shares }, at / 100));
  assert.is(draws.filter((pool) => pool === 'new').length, 10);
});

test.run();
