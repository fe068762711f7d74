/**
 * The demo: a small fleet of real processes, a story that checks itself, then time to try commands.
 *
 * `--once` ends after the story, with status 0 only if all of it was right.
 */
import { Fleet, OPERATOR_TOKEN } from '../fleet/fleet.js';
import { planSampleFleet, SAMPLE_MODEL } from '../fleet/fleetPlan.js';

import { CheckList } from './checkList.js';
import { Story } from './story.js';

const ENTRIES = 2;
const MODELS_PER_DOMAIN = 1;

function writeInvitation(fleet: Fleet): void {
  const [entry] = fleet.entries;
  if (!entry) return;
  const command = `npx radishbay --entry ${entry.operatorsUrl} --token ${OPERATOR_TOKEN}`;
  process.stdout.write(`
The fleet stays up; Ctrl-C ends it. Try, in another terminal:

  ${command} ask upstreams
  ${command} ask load
  ${command} order drain zone-b --wait
  ${command} order restore zone-b --wait
  curl -N ${entry.callersUrl}/v1/completions -H 'authorization: Bearer choir-key-0001' \\
    -d '{"model":"${SAMPLE_MODEL}","prompt":"Transpose part two.","max_tokens":20,"stream":true}'
`);
}

function waitForInterrupt(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

const isOnce = process.argv.includes('--once');
const plan = planSampleFleet(ENTRIES, MODELS_PER_DOMAIN);
const checks = new CheckList();
const fleet = await Fleet.start({ plan });
process.stdout.write(`${fleet.size} processes are up: entries, side processes, stand-ins.\n`);
try {
  await new Story(fleet, plan, checks).play();
  if (!isOnce) {
    writeInvitation(fleet);
    await waitForInterrupt();
  }
} finally {
  await fleet.stop();
}
process.stdout.write(`\ndemo: ${checks.passed} right, ${checks.failed} wrong\n`);
process.exitCode = checks.failed === 0 ? 0 : 1;
