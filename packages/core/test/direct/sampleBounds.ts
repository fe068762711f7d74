import type { FleetBounds } from '../../src/direct/fleetBounds.js';

export const BOUNDS: FleetBounds = {
  retryShare: 0.2,
  retryWindowMs: 10_000,
  retryFloor: 88,
  coldFactor: 1.5,
  coldAddition: 5,
  contactMs: 3_000,
  stopLimitMs: 8_000,
};
