/**
 * Measures workspace limits over several entries: equal shares, shares lent by demand, and one
 * bucket for all as the bound.
 *
 * Usage: node packages/standin/dist/src/bench/limitsBench.js
 */
import {
  BURST,
  LIMIT_PER_SECOND,
  LimitsMethod,
  LimitsRun,
  Skew,
  type LimitsScenario,
} from './limits/limitsRun.js';
import { writeLine, writeRow } from './table.js';

/** Characters of the columns. */
const WIDTHS = [14, 20, 10];

const SEEDS = [1, 2, 3];

const RUN_S = 60;

const ENTRY_COUNTS = [3, 8];

const DEMANDS = [0.8, 2];

const LOSS_SHARE = 0.2;

function measure(scenario: LimitsScenario): void {
  const runs = SEEDS.map((seed) => LimitsRun.run(scenario, seed));
  const sum = (field: 'offered' | 'admitted' | 'messages') =>
    runs.reduce((total, run) => total + run[field], 0);
  const messagesPerSecond = sum('messages') / RUN_S / SEEDS.length / scenario.entries;
  writeRow(
    [
      scenario.method,
      scenario.skew,
      String(scenario.entries),
      `${scenario.demand}x`,
      `${scenario.lossShare * 100}%`,
      `${((100 * sum('admitted')) / sum('offered')).toFixed(1)}%`,
      String(Math.max(...runs.map((run) => run.peakPerSecond))),
      messagesPerSecond.toFixed(1),
    ],
    WIDTHS,
    2,
  );
}

const title = `limit ${LIMIT_PER_SECOND} a second, burst ${BURST}, ${RUN_S} s, seeds ${SEEDS.join(', ')}`;
writeLine(`${title}; one bucket admits ${LIMIT_PER_SECOND + BURST} in a second at most`);
writeRow(
  ['way', 'demand at', 'entries', 'demand', 'loss', 'admitted', 'peak 1 s', 'msg/s each'],
  WIDTHS,
  2,
);
DEMANDS.forEach((demand) => {
  Object.values(Skew).forEach((skew) => {
    const whole = { skew, demand, entries: 1, lossShare: 0 };
    measure({ ...whole, method: LimitsMethod.OneBucket });
    ENTRY_COUNTS.forEach((entries) => {
      measure({ ...whole, entries, method: LimitsMethod.EqualShares });
      measure({ ...whole, entries, method: LimitsMethod.LentShares });
      measure({ ...whole, entries, method: LimitsMethod.LentShares, lossShare: LOSS_SHARE });
    });
  });
});
