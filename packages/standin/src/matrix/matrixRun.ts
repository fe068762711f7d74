/** All cells of one scenario, their outcome, and how to replay what was violated. */
import { Random } from '@radishbay/core/ports/random.js';

import { runCell, type CellResult, type PlacedFault } from './cell.js';
import { FaultKind } from './fault.js';
import type { Scenario } from './scenario/scenario.js';

export interface MatrixOptions {
  readonly seed: number;
  /** Pairs of faults, by seeded sample. */
  readonly pairCount: number;
  /** Single faults to try at most, by seeded sample; undefined tries all. */
  readonly singleLimit?: number;
}

/** Counts of one kind of fault in one scenario. */
export interface MatrixRow {
  readonly scenario: string;
  readonly fault: string;
  cells: number;
  violated: number;
  /** How callers ended. */
  readonly ends: Map<string, number>;
}

/** A cell in which something did not hold. */
export interface Violation {
  /** Words after `npm run matrix --`. */
  readonly replay: string;
  readonly sentences: readonly string[];
}

export interface MatrixResult {
  readonly rows: readonly MatrixRow[];
  readonly violations: readonly Violation[];
}

type Cell = readonly PlacedFault[];

const KINDS = Object.values(FaultKind);

function listSingles(eventCount: number): readonly Cell[] {
  return KINDS.flatMap((kind) =>
    Array.from({ length: eventCount }, (_, index) => [{ event: index + 1, kind }]),
  );
}

function sampleCells(cells: readonly Cell[], limit: number, random: Random): readonly Cell[] {
  const left = [...cells];
  return Array.from({ length: Math.min(limit, left.length) }, () =>
    left.splice(random.nextInt(left.length), 1),
  ).flat();
}

function samplePairs(eventCount: number, count: number, random: Random): readonly Cell[] {
  const pick = (): PlacedFault => ({
    event: 1 + random.nextInt(eventCount),
    kind: KINDS[random.nextInt(KINDS.length)] ?? FaultKind.LinkCut,
  });
  return Array.from({ length: count }, () => [pick(), pick()]);
}

function formatFaults(cell: Cell): string {
  return cell.map(({ event, kind }) => `${event}:${kind}`).join(',') || 'none';
}

function nameCell(cell: Cell): string {
  if (cell.length > 1) return 'pairs';
  return cell[0]?.kind ?? 'none';
}

/** Runs the cells of one scenario. */
export class MatrixRun {
  readonly #scenario: Scenario;

  readonly #options: MatrixOptions;

  readonly #rows = new Map<string, MatrixRow>();

  readonly #violations: Violation[] = [];

  constructor(scenario: Scenario, options: MatrixOptions) {
    this.#scenario = scenario;
    this.#options = options;
  }

  /** @returns counts and violations of all cells in which each fault could be put */
  async run(): Promise<MatrixResult> {
    const { seed, pairCount, singleLimit } = this.#options;
    const random = new Random(seed);
    const undisturbed = await runCell(this.#scenario, seed, []);
    this.#note([], undisturbed);
    const eventCount = undisturbed.events.length;
    const singles = listSingles(eventCount);
    const tried = singleLimit === undefined ? singles : sampleCells(singles, singleLimit, random);
    const cells = [...tried, ...samplePairs(eventCount, pairCount, random)];
    await cells.reduce(async (before, cell) => {
      await before;
      const result = await runCell(this.#scenario, seed, cell);
      if (result.isApplied) this.#note(cell, result);
    }, Promise.resolve());
    return { rows: [...this.#rows.values()], violations: this.#violations };
  }

  #note(cell: Cell, result: CellResult): void {
    const row = this.#findRow(nameCell(cell));
    row.cells += 1;
    Object.entries(result.ends).forEach(([end, count]) =>
      row.ends.set(end, (row.ends.get(end) ?? 0) + count),
    );
    if (result.violations.length === 0) return;
    row.violated += 1;
    const { seed } = this.#options;
    const { name } = this.#scenario;
    this.#violations.push({
      replay: `--scenario ${name} --seed ${seed} --replay ${formatFaults(cell)}`,
      sentences: result.violations,
    });
  }

  #findRow(fault: string): MatrixRow {
    const scenario = this.#scenario.name;
    const row = this.#rows.get(fault) ?? {
      scenario,
      fault,
      cells: 0,
      violated: 0,
      ends: new Map<string, number>(),
    };
    this.#rows.set(fault, row);
    return row;
  }
}
