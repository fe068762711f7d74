/** The scenarios of the fault matrix. */
import { DrainScenario } from './scenario/drainScenario.js';
import { EntryStopScenario } from './scenario/entryStopScenario.js';
import { KEYED_SWAP_SCENARIO, STREAM_SCENARIO, SWAP_SCENARIO } from './scenario/requestScenario.js';
import type { Scenario } from './scenario/scenario.js';
import { SettingScenario } from './scenario/settingScenario.js';
import { SideStopScenario } from './scenario/sideStopScenario.js';

export const SCENARIOS: readonly Scenario[] = [
  STREAM_SCENARIO,
  SWAP_SCENARIO,
  KEYED_SWAP_SCENARIO,
  new DrainScenario(),
  new SettingScenario(),
  new EntryStopScenario(),
  new SideStopScenario(),
];
