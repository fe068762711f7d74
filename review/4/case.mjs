/** An entry of another writer in the list of workers, whose address is no address. */
import { createConfig, GROUP_ENGINE, MODELS, ZONES } from '../common/config.mjs';
import { Deployment, SETTLE_MS } from '../common/deployment.mjs';
import { Group } from '../common/group.mjs';
import { wait } from '../common/net.mjs';
import { HAS_TROUBLE, runCase } from '../common/record.mjs';
import { consumeStreams, describeAnswers } from '../common/traffic.mjs';

const PLAY_MS = 30_000;

/** When the entry is written, after the start of the traffic. */
const FOREIGN_AT_MS = 5_000;

/** Ends of a process, and machines with so many, from which the rule is broken. */
const ENDS_MIN = 3;
const MACHINES_MIN = 2;

/** Of the right kinds of field, but the port can't be one. */
const FOREIGN = {
  service: MODELS,
  address: '127.0.0.1:99999',
  zone: ZONES[0],
  version: 'v1',
  slots: 12,
  state: 'ready',
  cold_left_ms: 0,
  born: 1_780_000_000_000,
};

const deployment = new Deployment();

let group;

async function writeForeignEntry(record) {
  await wait(FOREIGN_AT_MS);
  deployment.store.put('servers', 'i-foreign', FOREIGN);
  record.write(`another writer's entry in the list of workers: ${JSON.stringify(FOREIGN)}`);
}

async function play(record) {
  group = new Group(record);
  await deployment.start({ record, config: createConfig(5, { engine: GROUP_ENGINE }), group });
  const { entries } = deployment;
  await wait(SETTLE_MS);
  const endAtMs = performance.now() + PLAY_MS;
  const isOver = () => performance.now() >= endAtMs;
  const streams = entries.map((entry) => consumeStreams(entry, isOver));
  await Promise.all([HAS_TROUBLE ? writeForeignEntry(record) : undefined, ...streams]);
  const answers = (await Promise.all(streams)).flat();
  record.write(describeAnswers(answers));
  entries.forEach((entry) => {
    const [reason] = /(?:Type|Range|Syntax)?Error: [^\\"]+/u.exec(entry.readLog()) ?? ['none'];
    record.write(`${entry.name}: ${entry.ownEnds.length} ends by itself, error: ${reason}`);
  });
  if (answers.every(({ isComplete }) => !isComplete)) throw new Error('no stream was served');
  const ended = entries.filter(({ ownEnds }) => ownEnds.length >= ENDS_MIN);
  const ends = entries.map(({ ownEnds }) => ownEnds.length).join(', ');
  return {
    isBroken: ended.length >= MACHINES_MIN,
    text: `the processes of the ${entries.length} machines ended by themselves ${ends} times`,
  };
}

await runCase(new URL('./', import.meta.url), play, () => {
  deployment.stop();
  group?.stop();
});
