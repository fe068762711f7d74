/** A small deployment on loopback: the store, workers in three zones, and entries. */
import { randomInt } from 'node:crypto';

import { createConfig, MODELS, REGISTRY, ZONES } from './config.mjs';
import { Entry } from './entry.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const ENTRIES = 3;
const MODEL_SLOTS = 12;
const REGISTRY_SLOTS = 6;

/** Time in which a started entry meets the other entries, in milliseconds. */
export const SETTLE_MS = 4_000;

export class Deployment {
  store = new Store();

  workers = [];

  entries = [];

  /**
   * Starts all.
   *
   * @param onRequest handles a request at a worker
   * @param group takes the place of the workers of the streams
   * @param beforeEntries is called before the entries start
   * @param peers proxies on the channels between entries
   */
  async start({ record, onRequest, group, config, beforeEntries, peers }) {
    if (peers) this.store.translate = (spec) => peers.translate(spec);
    await this.store.start();
    await Promise.all(
      ZONES.flatMap((zone, at) => [
        group ?? this.addWorker(`i-model-${at}`, MODELS, zone, MODEL_SLOTS, onRequest),
        this.addWorker(`i-registry-${at}`, REGISTRY, zone, REGISTRY_SLOTS, onRequest),
      ]),
    );
    await group?.start(this.store);
    this.store.put('config', 'main', config ?? createConfig(5));
    // Each entry has an address of its own, as its metrics port is fixed.
    const net = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
    for (let at = 0; at < ENTRIES; at += 1) {
      const zone = ZONES[at % ZONES.length];
      const name = `edge-${zone}-${at}`;
      this.entries.push(new Entry({ name, zone, address: `${net}.${at + 1}`, record, peers }));
    }
    beforeEntries?.();
    await Promise.all(this.entries.map((entry) => entry.start(this.store.address)));
  }

  stop() {
    this.entries.forEach((entry) => entry.stop());
    this.workers.forEach((worker) => worker.stop());
    this.store.stop();
  }

  /** Starts a worker and registers it. */
  async addWorker(id, service, zone, slots, onRequest) {
    const worker = new Worker({ id, service, zone, slots, onRequest });
    this.workers.push(worker);
    await worker.start();
    this.store.put('servers', id, worker.entry);
    return worker;
  }
}
