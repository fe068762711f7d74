import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { parseSettings, readSettings } from '../src/settings/settingsFile.js';

const GOOD_SIDE = `role: side
name: worker-1
domain: zone-a
links:
  host: 127.0.0.1
  port: 7100
  token: a-shared-token
upstream:
  kind: model
  url: http://127.0.0.1:8000
`;

test('valid settings get their defaults', () => {
  const settings = parseSettings(GOOD_SIDE).unwrap();
  assert.is(settings.log.level, 'info');
  assert.is(settings.links.linkLimit, 1_024);
});

test('every fault is reported at once, each with its line and field', () => {
  const text = GOOD_SIDE.replace('port: 7100', 'port: 99999')
    .replace('kind: model', 'kind: modal')
    .concat('colour: red\n');
  const faults = parseSettings(text);
  assert.ok(faults.err);
  assert.equal(
    faults.val.map(({ line, field }) => [line, field]),
    [
      [6, 'links.port'],
      [9, 'upstream.kind'],
      [11, 'colour'],
    ],
  );
});

test('an unknown key inside a section is a fault on its own line', () => {
  const faults = parseSettings(GOOD_SIDE.replace('  port: 7100', '  port: 7100\n  prot: 7100'));
  assert.ok(faults.err);
  assert.equal(
    faults.val.map(({ line, field, message }) => [line, field, message]),
    [[7, 'links.prot', 'no such setting']],
  );
});

test('text that is not YAML is a fault with its line', () => {
  const faults = parseSettings('role: side\nname: [worker-1\n');
  assert.ok(faults.err);
  assert.ok((faults.val[0]?.line ?? 0) >= 2);
});

test('a missing role is a fault of the role field', () => {
  const faults = parseSettings('name: x\n');
  assert.ok(faults.err);
  assert.is(faults.val[0]?.field, 'role');
});

['entry', 'side'].forEach((role) => {
  test(`the example settings of the ${role} role are valid`, async () => {
    const file = fileURLToPath(new URL(`../../../../docs/examples/${role}.yaml`, import.meta.url));
    const settings = await readSettings(file);
    assert.is(settings.unwrap().role, role);
  });
});

test.run();
