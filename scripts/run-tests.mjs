/**
 * Runs every compiled test file in its own process, with a timeout, and prints a summary.
 *
 * Files in folders named `floods` measure memory; they run one at a time, after all others.
 * Tests listed in KNOWN-RED.txt may fail; their failures are printed but not counted.
 * Usage: node scripts/run-tests.mjs [PART OF A PATH]
 */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, readdirSync, statSync } from 'node:fs';
import path from 'node:path';

const FILE_TIMEOUT_MS = 240_000;
const PARALLEL_FILES = 4;
const SERIAL_FOLDER = '/floods/';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

function listFiles(dir) {
  if (!existsSync(dir)) return [];
  return readdirSync(dir).flatMap((name) => {
    const full = path.join(dir, name);
    if (statSync(full).isDirectory()) return listFiles(full);
    return full.endsWith('.test.js') ? [full] : [];
  });
}

function findTestFiles(filter) {
  const folders = [...readdirSync('packages').map((name) => `packages/${name}`), 'platform'];
  const files = folders.flatMap((folder) => listFiles(`${folder}/dist/test`));
  return files.filter((file) => file.includes(filter)).sort();
}

/** Names of the tests that may fail: lines of the form `test: NAME`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const names = lines
    .filter((line) => line.startsWith('test:'))
    .map((line) => line.slice(5).trim());
  return new Set(names);
}

function runFile(file) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], {
      env: { ...process.env, FORCE_COLOR: '0' },
    });
    let output = '';
    let isTimedOut = false;
    const timer = setTimeout(() => {
      isTimedOut = true;
      child.kill('SIGKILL');
    }, FILE_TIMEOUT_MS);
    child.stdout.on('data', (data) => {
      output += data;
    });
    child.stderr.on('data', (data) => {
      output += data;
    });
    child.on('close', (code) => {
      clearTimeout(timer);
      resolve({ file, output, code, isTimedOut });
    });
  });
}

function readCount(output, label) {
  const match = new RegExp(`${label}:\\s+(\\d+)`).exec(output);
  return match ? Number(match[1]) : 0;
}

function listFailures(output) {
  return [...output.matchAll(/^\s*FAIL\s+(?:[^"]*\s)?"(.*)"$/gm)].map((match) => match[1]);
}

/** Counts the results of one file; a file that ends without a report counts as one failure. */
function summarise(result, knownRed) {
  const passed = readCount(result.output, 'Passed');
  const total = readCount(result.output, 'Total');
  const failures = listFailures(result.output);
  const red = failures.filter((name) => knownRed.has(name));
  const unexpected = failures.filter((name) => !knownRed.has(name));
  const isBroken = result.isTimedOut || total === 0 || (result.code !== 0 && failures.length === 0);
  const skipped = readCount(result.output, 'Skipped');
  const failed = Math.max(unexpected.length, total - passed - red.length) + skipped;
  return { passed, red, failed: isBroken ? Math.max(1, failed) : failed };
}

const totals = { passed: 0, failed: 0, red: [] };

/** Runs files, some at a time, and adds their results to the totals. */
async function runAll(files, parallelCount, knownRed) {
  const queue = [...files];
  const runQueue = async () => {
    const file = queue.shift();
    if (!file) return;
    const result = await runFile(file);
    const summary = summarise(result, knownRed);
    totals.passed += summary.passed;
    totals.failed += summary.failed;
    totals.red.push(...summary.red);
    const status = summary.failed > 0 ? 'FAILED' : 'ok';
    process.stdout.write(`${status} ${file} (${summary.passed} passed)\n`);
    if (result.isTimedOut) process.stdout.write(`  timed out after ${FILE_TIMEOUT_MS} ms\n`);
    if (summary.failed > 0) process.stdout.write(`${result.output}\n`);
    await runQueue();
  };
  await Promise.all(Array.from({ length: parallelCount }, runQueue));
}

const files = findTestFiles(process.argv[2] ?? '');
const isSerial = (file) => file.includes(SERIAL_FOLDER);
const knownRed = readKnownRed();
await runAll(
  files.filter((file) => !isSerial(file)),
  PARALLEL_FILES,
  knownRed,
);
await runAll(files.filter(isSerial), 1, knownRed);
totals.red.forEach((name) => process.stdout.write(`known red: ${name}\n`));
process.stdout.write(`${totals.passed} passed, ${totals.failed} failed\n`);
process.exitCode = totals.failed > 0 || totals.passed === 0 ? 1 : 0;
