/** Faults that a cell puts at one numbered event. */
import { LinkFaultKind, type LinkFault } from '@radishbay/link/memory/linkFaults.js';

import { StoreFault } from '../platform/storeFault.js';

import { EventKind, type NumberedEvent } from './fake/eventLog.js';
import { SimProcess } from './process/simProcess.js';
import type { World } from './world.js';

export enum FaultKind {
  LinkCut = 'link-cut',
  LinkCutAtSender = 'link-cut-at-sender',
  LinkCutAtReceiver = 'link-cut-at-receiver',
  LinkSilent = 'link-silent',
  MessageLate = 'message-late',
  MessageRepeated = 'message-repeated',
  EntryKilled = 'entry-killed',
  EntryFrozen = 'entry-frozen',
  SideKilled = 'side-killed',
  SideFrozen = 'side-frozen',
  PlatformDown = 'platform-down',
  PlatformSlow = 'platform-slow',
  StoreRequestLost = 'store-request-lost',
  StoreAnswerLost = 'store-answer-lost',
  StoreLateEffect = 'store-late-effect',
  StoreSilent = 'store-silent',
  UpstreamCold = 'upstream-cold',
  UpstreamRestarted = 'upstream-restarted',
  UpstreamLeaving = 'upstream-leaving',
  SecondOrder = 'second-order',
}

/** How long a frozen process stays frozen. */
const FREEZE_MS = 6_000;

/** Time after which a killed process is started anew. */
const RESTART_MS = 1_500;

/** Longer than every lease and heartbeat limit. */
const LATE_MS = 4_000;
const OUTAGE_MS = 8_000;
const SLOW_STORE_MS = 900;

const LINK_FATES: ReadonlyMap<FaultKind, LinkFault> = new Map([
  [FaultKind.LinkCut, { kind: LinkFaultKind.Cut, extraDelayMs: 0 }],
  [FaultKind.LinkCutAtSender, { kind: LinkFaultKind.CutSender, extraDelayMs: 0 }],
  [FaultKind.LinkCutAtReceiver, { kind: LinkFaultKind.CutReceiver, extraDelayMs: 0 }],
  [FaultKind.LinkSilent, { kind: LinkFaultKind.Silence, extraDelayMs: 0 }],
  [FaultKind.MessageLate, { kind: LinkFaultKind.Deliver, extraDelayMs: LATE_MS }],
  [FaultKind.MessageRepeated, { kind: LinkFaultKind.Repeat, extraDelayMs: 0 }],
]);

const STORE_FAULTS: ReadonlyMap<FaultKind, StoreFault> = new Map([
  [FaultKind.StoreRequestLost, StoreFault.RequestLost],
  [FaultKind.StoreAnswerLost, StoreFault.AnswerLost],
  [FaultKind.StoreLateEffect, StoreFault.LateEffect],
  [FaultKind.StoreSilent, StoreFault.Silent],
]);

/** Entry that an event concerns: the one that makes the call, or whose attempt it is about. */
function findEntry(world: World, event: NumberedEvent): string | undefined {
  const names = [...world.entries.keys()];
  const caller = names.find((name) => name === event.caller);
  return caller ?? names.find((name) => event.detail.includes(`${name}.`));
}

/** Upstream that an event concerns: behind the side process at either end of the call. */
function findUpstream(world: World, event: NumberedEvent): string | undefined {
  const names = [...world.sides.keys()];
  const caller = names.find((name) => event.caller === `side-${name}`);
  return caller ?? world.findUpstream(event.place);
}

/** Whether a fault concerns one call of the platform. */
export function isCallFault(kind: FaultKind): boolean {
  return STORE_FAULTS.has(kind);
}

/** Whether a fault concerns the platform alone. */
export function isPlatformFault(kind: FaultKind): boolean {
  return isCallFault(kind) || kind === FaultKind.PlatformDown || kind === FaultKind.PlatformSlow;
}

/** Whether a fault can be put at an event. */
export function isPossible(world: World, kind: FaultKind, event: NumberedEvent): boolean {
  if (LINK_FATES.has(kind)) return event.kind === EventKind.Link;
  if (STORE_FAULTS.has(kind)) return event.kind === EventKind.Store;
  switch (kind) {
    case FaultKind.EntryKilled:
    case FaultKind.EntryFrozen:
      return findEntry(world, event) !== undefined;
    case FaultKind.SideKilled:
    case FaultKind.SideFrozen:
    case FaultKind.UpstreamCold:
    case FaultKind.UpstreamRestarted:
    case FaultKind.UpstreamLeaving:
      return findUpstream(world, event) !== undefined;
    case FaultKind.SecondOrder:
      return world.secondOrder !== undefined;
    default:
      return true;
  }
}

function harnessTimer(action: () => void, spanMs: number): void {
  SimProcess.outside(() => setTimeout(action, spanMs));
}

function killEntry(world: World, name: string): void {
  world.getEntry(name).process.kill();
  harnessTimer(() => world.startEntry(name), RESTART_MS);
}

function freeze(process: { freeze(): void; thaw(): void }): void {
  process.freeze();
  harnessTimer(() => process.thaw(), FREEZE_MS);
}

function killSide(world: World, name: string): void {
  world.sides.get(name)?.process.kill();
  harnessTimer(() => world.startSide(name), RESTART_MS);
}

function applyToEntry(world: World, kind: FaultKind, entry: string): void {
  if (kind === FaultKind.EntryKilled) killEntry(world, entry);
  else freeze(world.getEntry(entry).process);
}

function applyToUpstream(world: World, kind: FaultKind, upstream: string): void {
  const side = world.sides.get(upstream);
  if (!side) return;
  if (kind === FaultKind.SideKilled) killSide(world, upstream);
  if (kind === FaultKind.SideFrozen) freeze(side.process);
  if (kind === FaultKind.UpstreamCold) world.getEngine(upstream).turnCold();
  if (kind === FaultKind.UpstreamRestarted) world.getEngine(upstream).restart();
  if (kind === FaultKind.UpstreamLeaving) side.process.post(() => side.node.markLeaving());
}

/** Another operator gives an order through the last entry at this very moment. */
function giveSecondOrder(world: World): void {
  const order = world.secondOrder;
  const entry = [...world.entries.values()].at(-1);
  if (!order || !entry) return;
  const { process, node } = entry;
  harnessTimer(() => process.post(() => node.give(order, 'second-order')), 0);
}

/** Puts a fault at the event that is being numbered now. */
export function applyFault(world: World, kind: FaultKind, event: NumberedEvent): void {
  const fate = LINK_FATES.get(kind);
  if (fate) world.faults.setFate(fate);
  const storeFault = STORE_FAULTS.get(kind);
  if (storeFault) world.platform.setFault(storeFault);
  if (kind === FaultKind.PlatformDown) world.platform.breakFor(StoreFault.Unavailable, OUTAGE_MS);
  if (kind === FaultKind.PlatformSlow) world.platform.slowFor(SLOW_STORE_MS, OUTAGE_MS);
  if (kind === FaultKind.SecondOrder) giveSecondOrder(world);
  const entry = findEntry(world, event);
  const isEntryFault = kind === FaultKind.EntryKilled || kind === FaultKind.EntryFrozen;
  if (entry && isEntryFault) applyToEntry(world, kind, entry);
  const upstream = findUpstream(world, event);
  if (upstream) applyToUpstream(world, kind, upstream);
}
