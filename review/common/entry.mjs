/** Runs radishbay as the deploy file says, in a process of its own. */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { createSettings } from './config.mjs';
import { findFreePort, waitFor } from './net.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Time until the platform starts a process again that has ended, in milliseconds. */
const RESTART_MS = 1_000;

function readRunCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run\s*=\s*"([^"]+)"/mu.exec(text)?.[1];
  if (!run) throw new Error('deploy/system.toml has no run command');
  return run.split(' ');
}

function askReady(address, port) {
  return new Promise((resolve) => {
    const request = http.get({ host: address, port, path: '/readyz', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.setTimeout(500, () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

export class Entry {
  #folder;

  #settingsFile;

  #logFile;

  #child;

  #isRestarted = true;

  /** Ends of the process that nobody asked for. */
  ownEnds = [];

  #isKilled = false;

  constructor({ name, zone, address, record, peers }) {
    Object.assign(this, { name, zone, address, record, peers });
  }

  async start(storeAddress) {
    const { name, zone, address } = this;
    const front = await findFreePort(address);
    const ready = await findFreePort(address);
    const internal = await (this.peers?.open(address) ?? findFreePort(address));
    const ports = { front, ready, internal };
    this.port = front;
    this.readyPort = ready;
    this.#folder = mkdtempSync(path.join(os.tmpdir(), 'radishbay-review-'));
    this.#settingsFile = path.join(this.#folder, 'node.json');
    this.#logFile = path.join(this.#folder, 'entry.log');
    const settings = createSettings({ name, zone, address, ports, storeAddress });
    writeFileSync(this.#settingsFile, JSON.stringify(settings));
    this.#spawn();
    if (!(await this.waitUntilReady(15_000))) throw new Error(`${name} isn't ready`);
  }

  waitUntilReady(limitMs) {
    return waitFor(() => askReady(this.address, this.readyPort), limitMs);
  }

  /** What the process has written. */
  readLog() {
    return readFileSync(this.#logFile, 'utf8');
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.record.write(`signal ${name} to ${this.name}`);
    if (name === 'SIGKILL' || name === 'SIGTERM') this.#isKilled = true;
    this.#child.kill(name);
  }

  /** Ends the process for good. */
  stop() {
    this.#isRestarted = false;
    this.#isKilled = true;
    this.#child?.kill('SIGKILL');
    if (this.#folder) rmSync(this.#folder, { recursive: true, force: true });
  }

  #spawn() {
    const [program, ...words] = readRunCommand();
    const output = openSync(this.#logFile, 'a');
    const node = program === 'node' ? process.execPath : program;
    this.#isKilled = false;
    this.#child = spawn(node, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, RADISHBAY_NODE_FILE: this.#settingsFile },
      stdio: ['ignore', output, output],
    });
    this.#child.once('exit', (code, signal) => this.#handleExit(code, signal));
  }

  #handleExit(code, signal) {
    if (!this.#isRestarted) return;
    this.record.write(`process of ${this.name} ended, code ${code}, signal ${signal}`);
    if (!this.#isKilled) this.ownEnds.push({ code, signal });
    setTimeout(() => {
      if (this.#isRestarted) this.#spawn();
    }, RESTART_MS);
  }
}
