/** Faults that a soak does from outside, and the work of operators that comes in between. */
export enum FaultKind {
  EntryKill = 'entry-kill',
  /** SIGTERM, and a new start when it has ended. */
  EntryStop = 'entry-stop',
  /** SIGSTOP, then SIGCONT. */
  EntryPause = 'entry-pause',
  /** SIGHUP, with a settings file that has changed. */
  EntryReload = 'entry-reload',
  /** The wall clock of an entry jumps. */
  ClockJump = 'clock-jump',
  /** An entry's link to the store passes nothing on, both ways or one. */
  StoreLinkHold = 'store-link-hold',
  StoreLinkReset = 'store-link-reset',
  StoreLinkDelay = 'store-link-delay',
  /** An entry's link to the other entries passes nothing on, or is reset. */
  PeerLinkHold = 'peer-link-hold',
  PeerLinkReset = 'peer-link-reset',
  /** An upstream's link, from all entries. */
  UpstreamLinkHold = 'upstream-link-hold',
  UpstreamLinkReset = 'upstream-link-reset',
  UpstreamLinkDelay = 'upstream-link-delay',
  UpstreamCrash = 'upstream-crash',
  /** It refuses, hangs, resets, cuts or repeats a part of its answers. */
  UpstreamMisbehave = 'upstream-misbehave',
  /** It says that it leaves, and ends later. */
  UpstreamLeave = 'upstream-leave',
  /** It is cold from now on, without notice. */
  UpstreamCold = 'upstream-cold',
  StoreSilent = 'store-silent',
  StoreFailing = 'store-failing',
  StoreSlow = 'store-slow',
  /** It forgets its history, so that watches have to begin anew. */
  StoreForgets = 'store-forgets',
  /** Answers to writes are lost. */
  StoreLosesAnswers = 'store-loses-answers',
  /** Orders to ranks are lost and carried out late. */
  OrdersLate = 'orders-late',
  DomainClose = 'domain-close',
  ConfigChange = 'config-change',
}

/** One fault of a plan. */
export interface Fault {
  readonly kind: FaultKind;
  /** From the start of the faults. */
  readonly atMs: number;
  readonly forMs: number;
  /** Entry, upstream or domain, by its place in a list that is long enough. */
  readonly target: number;
  /** A number from 0 to 1 that decides what else the kind leaves open. */
  readonly draw: number;
}
