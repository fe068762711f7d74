/** Orders to one rank of a group of model workers, and what it reports, after PROTOCOL.md. */
import { GROUP_ENGINE } from './config.mjs';

const { sets: SETS, experts: EXPERTS, placements: PLACEMENTS, spare: SPARE } = GROUP_ENGINE;

/** Time in which a rank copies the experts of a map, in milliseconds. */
const COPY_MS = 100;

const EPOCH = 1;

const OK = 200;
const BEGUN = 202;
const MISFIT = 409;

/** Demand for the most popular expert in a pass of one stream; the others have less. */
const PICKS_PER_PASS = 40;

/** Creates the map that assigns experts in turn: by set, then rank. */
function createFirstMap(size) {
  const all = Array.from({ length: EXPERTS }, (_, expert) => expert);
  const bySet = Array.from({ length: size }, (_, at) => all.filter((each) => each % size === at));
  return Array.from({ length: SETS }, () => bySet);
}

export class Rank {
  map = 0;

  prepared;

  armed;

  held;

  #highestVersion = 0;

  #counts = Array.from({ length: SETS }, () => new Array(EXPERTS).fill(0));

  streams = new Set();

  constructor(rank, size) {
    Object.assign(this, { rank, size, id: `i-rank-${rank}`, content: createFirstMap(size) });
  }

  createReport(step) {
    const { map, prepared, armed, held, rank, size } = this;
    return {
      stage: 'colocated',
      group: { name: 'g', epoch: EPOCH, rank, state: 'open' },
      size,
      step,
      pace: 1,
      map,
      prepared: prepared?.isCopied ? prepared.version : null,
      armed: armed ? { ...armed } : null,
      held: held ?? null,
    };
  }

  createCounts(step) {
    return { step, epoch: EPOCH, counts: this.#counts };
  }

  createLists() {
    const { rank, map, content, prepared } = this;
    const list = (of) => of.map((set) => set[rank]);
    return {
      map: { version: map, experts: list(content) },
      prepared: prepared && { version: prepared.version, experts: list(prepared.content) },
    };
  }

  /** Begins a pass; an armed map takes effect. */
  beginPass(step) {
    if (this.armed?.step !== step) return;
    this.map = this.armed.version;
    this.content = this.prepared.content;
    this.prepared = undefined;
    this.armed = undefined;
  }

  /** Works on a pass: counts the experts that its streams choose, and makes their events. */
  work(favourite) {
    const { streams } = this;
    if (streams.size === 0) return;
    this.#counts = this.#counts.map((counts) =>
      counts.map((count, expert) => {
        const distance = (expert - favourite + EXPERTS) % EXPERTS;
        return count + Math.round((streams.size * PICKS_PER_PASS) / (1 + distance));
      }),
    );
    streams.forEach((emit) => emit());
  }

  /** Carries out an order; @returns the status of its answer. */
  execute({ op, epoch, version, step, map }, currentStep) {
    if (epoch !== undefined && epoch !== EPOCH) return MISFIT;
    const orders = {
      prepare: () => this.#prepare(version, map),
      arm: () => this.#arm(version, step, currentStep),
      disarm: () => this.#disarm(version),
      hold: () => this.#hold(step, currentStep),
      go: () => this.#release(step),
    };
    return orders[op]?.() ?? 400;
  }

  #prepare(version, content) {
    const isPrepared = this.prepared?.version === version;
    if (isPrepared && JSON.stringify(this.prepared.content) === JSON.stringify(content)) return OK;
    if (version <= this.#highestVersion || this.armed || !this.#fits(content)) return MISFIT;
    const prepared = { version, content, isCopied: false };
    this.#highestVersion = version;
    this.prepared = prepared;
    setTimeout(() => {
      prepared.isCopied = true;
    }, COPY_MS);
    return BEGUN;
  }

  #fits(content) {
    return content.every((set, at) => {
      const held = new Set(this.content[at][this.rank]);
      const wanted = set[this.rank];
      const added = wanted.filter((expert) => !held.has(expert));
      return added.length <= SPARE && wanted.length <= PLACEMENTS;
    });
  }

  #arm(version, step, currentStep) {
    if (this.armed?.version === version && this.armed.step === step) return OK;
    const isPrepared = this.prepared?.version === version && this.prepared.isCopied;
    if (!isPrepared || step <= currentStep) return MISFIT;
    this.armed = { version, step };
    return BEGUN;
  }

  #disarm(version) {
    if (this.map === version) return MISFIT;
    if (this.armed?.version === version) this.armed = undefined;
    return OK;
  }

  #hold(step, currentStep) {
    if (this.held === step) return OK;
    if (this.held !== undefined || step <= currentStep) return MISFIT;
    this.held = step;
    return BEGUN;
  }

  #release(step) {
    if (this.held !== step) return MISFIT;
    this.held = undefined;
    return BEGUN;
  }
}
