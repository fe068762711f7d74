/**
 * Runs the same bench days on several checkouts and prints the reported `G` (worth) and `served` of
 * each.
 *
 * Usage: node scripts/compare-days.mjs --bench PROGRAM --why TEXT [--jobs N] [--seeds N]
 *   [--args "--no-cpu"] --checkout DIR... --day SITE_FILE:DAY...
 * The last line gives the mean difference in worth of the last checkout to the first, with its
 * standard error over days and seeds; a difference below twice that error is noise.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parseArgs } from 'node:util';

const { values } = parseArgs({
  options: {
    bench: { type: 'string' },
    why: { type: 'string' },
    jobs: { type: 'string', default: '4' },
    seeds: { type: 'string', default: '0' },
    args: { type: 'string', default: '--no-cpu' },
    checkout: { type: 'string', multiple: true, default: [] },
    day: { type: 'string', multiple: true, default: [] },
  },
});

const folder = mkdtempSync(path.join(tmpdir(), 'compare-'));

/** Seeds to run each day with; without seeds each day runs once, as its site file defines it. */
function listSeeds() {
  const count = Number(values.seeds);
  return count === 0 ? [undefined] : Array.from({ length: count }, (_, at) => 1_000 + at);
}

function listRuns() {
  const { checkout, day } = values;
  return day.flatMap((each) =>
    listSeeds().flatMap((seed) => checkout.map((dir) => ({ day: each, seed, dir }))),
  );
}

function runDay({ day, seed, dir }, at) {
  const [site, name] = day.split(':');
  const report = path.join(folder, `${at}.json`);
  const seedArgs = seed === undefined ? [] : ['--seed', String(seed)];
  const extra = values.args.split(' ').filter(Boolean);
  const args = ['run', site, name, ...seedArgs, ...extra, '--report', report, '--why', values.why];
  return new Promise((resolve) => {
    const child = spawn(values.bench, args, { cwd: dir, stdio: 'ignore' });
    child.on('close', () => {
      try {
        const { G, served, breaks } = JSON.parse(readFileSync(report, 'utf8'));
        resolve({ worth: G, served, breaks: Object.keys(breaks) });
      } catch (error) {
        resolve({ worth: Number.NaN, served: Number.NaN, breaks: [`no report: ${error.message}`] });
      }
    });
  });
}

async function runAll(runs) {
  const results = [];
  let next = 0;
  const runQueue = async () => {
    while (next < runs.length) {
      const at = next;
      next += 1;
      // eslint-disable-next-line no-await-in-loop -- each worker runs one day after the other
      results[at] = { ...runs[at], ...(await runDay(runs[at], at)) };
    }
  };
  await Promise.all(Array.from({ length: Number(values.jobs) }, runQueue));
  return results;
}

function formatRow(label, results) {
  const cells = results.map(({ worth, served }) => `${worth.toFixed(3)} (${served.toFixed(3)})`);
  const broken = results.flatMap(({ breaks }) => breaks);
  return [label, ...cells, broken.length > 0 ? `BROKEN ${broken.join(' ')}` : ''].join('  ');
}

/** Mean of the differences, and its standard error. */
function describeDifferences(differences) {
  const count = differences.length;
  const mean = differences.reduce((sum, each) => sum + each, 0) / count;
  const variance = differences.reduce((sum, each) => sum + (each - mean) ** 2, 0) / (count - 1);
  return `mean difference ${mean.toFixed(3)}, standard error ${Math.sqrt(variance / count).toFixed(3)}, ${count} pairs`;
}

const results = await runAll(listRuns());
rmSync(folder, { recursive: true });
const width = values.checkout.length;
const rows = Array.from({ length: results.length / width }, (_, at) =>
  results.slice(at * width, (at + 1) * width),
);
process.stdout.write(
  `worth (served), by checkout: ${values.checkout.map((dir) => path.basename(path.dirname(dir))).join(', ')}\n`,
);
rows.forEach((row) => {
  const [{ day, seed }] = row;
  const [site, name] = day.split(':');
  process.stdout.write(
    `${formatRow(`${path.basename(site, '.toml')} ${name} ${seed ?? ''}`, row)}\n`,
  );
});
if (width > 1) {
  const differences = rows.map((row) => row[width - 1].worth - row[0].worth);
  process.stdout.write(`${describeDifferences(differences)}\n`);
}
