/** The store comes back from an older copy, and the operator then changes the config. */
import {
  createConfig,
  KEY,
  SAFE_ROUTE,
  STREAM_ROUTE,
  TENANT,
  UNSAFE_ROUTE,
  ZONES,
} from '../common/config.mjs';
import { send } from '../common/consumer.mjs';
import { Deployment, SETTLE_MS } from '../common/deployment.mjs';
import { wait } from '../common/net.mjs';
import { HAS_TROUBLE, runCase } from '../common/record.mjs';

const LEDGER = 'case-ledger';

const OTHER_TENANT = { name: 'puxa403', api_keys: ['key-that-is-withdrawn'] };

/** Age of the copy from which the store comes back, in milliseconds. */
const COPY_AGE_MS = 2_000;

/** Time from the operator's first change to the drill, in milliseconds. */
const FIRST_CHANGE_AGE_MS = 1_000;

/** Time for which the store is away, in milliseconds. */
const AWAY_MS = 800;

/** Interval at which workers write their entries, in milliseconds. */
const HEARTBEAT_MS = 1_200;

/**
 * Time from the ack of the config to the first request that counts: `contact_ms`, `outer_ms` and
 * `config_ms`, one after the other, and some more.
 */
const CONFIG_WAIT_MS = 12_000;

const REQUESTS_PER_ENTRY = 5;

function createVersion(version, { timeoutMs, hasMoved }) {
  const unsafe = {
    ...UNSAFE_ROUTE,
    timeout_ms: timeoutMs,
    service: hasMoved ? LEDGER : UNSAFE_ROUTE.service,
  };
  const tenants = [{ name: TENANT, api_keys: [KEY] }];
  const config = createConfig(version, {
    routes: [STREAM_ROUTE, unsafe, SAFE_ROUTE],
    tenants: hasMoved ? tenants : [...tenants, OTHER_TENANT],
  });
  return { ...config, services: [...config.services, { name: LEDGER, health_path: '/healthz' }] };
}

const FIRST = createVersion(5, { timeoutMs: 2000, hasMoved: false });
const SECOND = createVersion(7, { timeoutMs: 1900, hasMoved: false });
const THIRD = createVersion(12, { timeoutMs: 1900, hasMoved: true });

const deployment = new Deployment();

/** Requests that ran, by id; the value is the worker. */
const runs = new Map();

function answerRequest(record, { worker, id, url }, response) {
  runs.set(id, worker);
  record.write(`${worker.id} of ${worker.service} runs ${id} ${url}`);
  response.writeHead(200, worker.createHeaders({ id }));
  response.end('lodged');
}

function writeConfig(record, config) {
  const { metadata } = deployment.store.put('config', 'main', config);
  record.write(`config version ${config.version} is acknowledged, revision ${metadata.revision}`);
}

function registerWorker(record, worker) {
  const { metadata } = deployment.store.put('servers', worker.id, worker.entry);
  record.write(`entry of ${worker.id}, revision ${metadata.revision}`);
}

/** The store's drill: away for a moment, then back from the copy; all writers write again. */
async function playDrill(record, copy, ledgers) {
  const { store } = deployment;
  store.goAway();
  record.write(`the store is away, revision ${store.revision}`);
  await wait(AWAY_MS);
  store.comeBack(copy);
  record.write(`the store is back from a copy ${COPY_AGE_MS} ms old, revision ${store.revision}`);
  writeConfig(record, SECOND);
  writeConfig(record, THIRD);
  ledgers.forEach((worker, at) => {
    const delayMs = ((at + 1) * HEARTBEAT_MS) / (ledgers.length + 1);
    setTimeout(() => registerWorker(record, worker), delayMs);
  });
}

async function sendChecks(record, entry) {
  const path = '/tiba613/2f';
  const keys = [KEY, OTHER_TENANT.api_keys[0]];
  const checks = Array.from({ length: REQUESTS_PER_ENTRY }).flatMap(() =>
    keys.map(async (key) => {
      const answer = await send(entry, { path, key, deadlineMs: 4000 });
      const worker = runs.get(answer.id);
      const kind = key === KEY ? 'valid key' : 'withdrawn key';
      const where = worker ? `run by ${worker.service}` : 'not run';
      record.write(`${entry.name}: ${answer.id}, ${kind}, status ${answer.status}, ${where}`);
      return { key, worker, status: answer.status };
    }),
  );
  return Promise.all(checks);
}

async function play(record) {
  const onRequest = (request, response) => answerRequest(record, request, response);
  await deployment.start({ record, onRequest, config: FIRST });
  await wait(SETTLE_MS);
  const copy = deployment.store.copy();
  record.write(`revision ${copy.revision}`);
  // Three workers of the new service start, as the next version will send them requests.
  const ledgers = await Promise.all(
    ZONES.map((zone, at) => deployment.addWorker(`i-ledger-${at}`, LEDGER, zone, 6, onRequest)),
  );
  await wait(COPY_AGE_MS - FIRST_CHANGE_AGE_MS);
  writeConfig(record, SECOND);
  await wait(FIRST_CHANGE_AGE_MS);
  if (HAS_TROUBLE) await playDrill(record, copy, ledgers);
  else writeConfig(record, THIRD);
  await wait(CONFIG_WAIT_MS);
  const checks = await Promise.all(deployment.entries.map((entry) => sendChecks(record, entry)));
  const all = checks.flat();
  const valid = all.filter(({ key }) => key === KEY);
  const stale = valid.filter(({ worker }) => worker && worker.service !== LEDGER);
  const withdrawn = all.filter(({ key, worker }) => key !== KEY && worker);
  if (valid.every(({ worker }) => !worker)) throw new Error('no request was served');
  return {
    isBroken: stale.length + withdrawn.length > 0,
    text:
      `${CONFIG_WAIT_MS} ms after the ack of version ${THIRD.version}, ` +
      `${stale.length} of ${valid.length} unsafe requests were run by the old service, and ` +
      `${withdrawn.length} of ${all.length - valid.length} with a withdrawn key were run`,
  };
}

await runCase(new URL('./', import.meta.url), play, () => deployment.stop());
