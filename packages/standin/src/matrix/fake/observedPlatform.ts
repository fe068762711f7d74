/** The platform of a simulated fleet: its calls are numbered, and faults can be put on them. */
import { MemoryObjectStore } from '../../platform/memoryStore.js';
import type { MemoryObjects } from '../../platform/memoryObjects.js';
import { StoreFault, StoreOperation, type StoreCall } from '../../platform/storeFault.js';
import { SimProcess } from '../process/simProcess.js';

import { EventKind, type EventLog } from './eventLog.js';

const DELAY_MS = 4;

/** Keys that are written and read again and again whatever else happens. */
const BACKGROUND_KEYS = /^(status|lease)\//u;

/** One platform and the clients that processes have of it. */
export class ObservedPlatform {
  readonly #root = new MemoryObjectStore('harness');

  readonly #clients = new Set<MemoryObjectStore>();

  readonly #events: EventLog;

  /** Fault of the call that is being numbered now. */
  #nextFault: StoreFault | undefined;

  constructor(events: EventLog) {
    this.#events = events;
    this.#root.observe((call) => this.#observe(call));
  }

  /** The objects themselves, without faults. */
  get objects(): MemoryObjects {
    return this.#root.objects;
  }

  /** Calls so far of all clients. */
  get callCount(): number {
    return this.#root.callCount;
  }

  /** Makes the client of one process. */
  connect(name: string): MemoryObjectStore {
    const client = this.#root.connect(name);
    client.delayMs = DELAY_MS;
    this.#clients.add(client);
    return client;
  }

  /** Sets the fault of the call that is being numbered now. */
  setFault(fault: StoreFault): void {
    this.#nextFault = fault;
  }

  /** Puts a fault on all calls for a time. */
  breakFor(fault: StoreFault, spanMs: number): void {
    this.#setAll(fault);
    SimProcess.outside(() => setTimeout(() => this.#setAll(StoreFault.None), spanMs));
  }

  /** Delays all calls for a time. */
  slowFor(delayMs: number, spanMs: number): void {
    this.#delayAll(delayMs);
    SimProcess.outside(() => setTimeout(() => this.#delayAll(DELAY_MS), spanMs));
  }

  #setAll(fault: StoreFault): void {
    this.#clients.forEach((client) => client.setFault(fault));
  }

  #delayAll(delayMs: number): void {
    [...this.#clients].forEach((client) => Object.assign(client, { delayMs }));
  }

  #observe(call: StoreCall): StoreFault | undefined {
    if (call.operation === StoreOperation.Watch || BACKGROUND_KEYS.test(call.key)) return undefined;
    this.#nextFault = undefined;
    this.#events.note(call.client, EventKind.Store, `${call.operation} ${call.key}`);
    return this.#nextFault;
  }
}
