/** Faults that a soak injects from outside, and operator actions that it mixes with them. */
export enum FaultKind {
  EntryKill = 'entry-kill',
  /** SIGTERM, and a restart once the process has exited. */
  EntryStop = 'entry-stop',
  /** SIGSTOP, then SIGCONT. */
  EntryPause = 'entry-pause',
  /** SIGHUP after a change of the settings file. */
  EntryReload = 'entry-reload',
  /** The wall clock of an entry jumps. */
  ClockJump = 'clock-jump',
  /** An entry's link to the store forwards nothing, in one direction or both. */
  StoreLinkHold = 'store-link-hold',
  StoreLinkReset = 'store-link-reset',
  StoreLinkDelay = 'store-link-delay',
  /** The link through which other entries reach an entry forwards nothing. */
  PeerLinkHold = 'peer-link-hold',
  PeerLinkReset = 'peer-link-reset',
  /** The link from all entries to an upstream forwards nothing. */
  UpstreamLinkHold = 'upstream-link-hold',
  UpstreamLinkReset = 'upstream-link-reset',
  UpstreamLinkDelay = 'upstream-link-delay',
  UpstreamCrash = 'upstream-crash',
  /** Some of its responses are refused, hang, or are reset, cut or repeated. */
  UpstreamMisbehave = 'upstream-misbehave',
  /** It announces that it leaves, and shuts down later. */
  UpstreamLeave = 'upstream-leave',
  /** It becomes cold without announcing it. */
  UpstreamCold = 'upstream-cold',
  /** It names a limit of the requests per second that it takes from all entries. */
  UpstreamLimit = 'upstream-limit',
  StoreSilent = 'store-silent',
  StoreFailing = 'store-failing',
  StoreSlow = 'store-slow',
  /** The store drops its history, so that watches must restart. */
  StoreForgets = 'store-forgets',
  /** Responses to writes are lost. */
  StoreLosesAnswers = 'store-loses-answers',
  /** Orders to ranks are lost and then carried out late. */
  OrdersLate = 'orders-late',
  DomainClose = 'domain-close',
  ConfigChange = 'config-change',
  /** The store returns from an older copy, and all writers but the entries write again. */
  StoreReturns = 'store-returns',
  /** Callers of an entry send bodies or heads that do not end, and keep their connections. */
  CallerFlood = 'caller-flood',
}

/** One fault of a plan, as written to plan.json. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time since the start of fault injection. */
  readonly atMs: number;
  /** Duration of the fault, where the kind has one. */
  readonly forMs: number;
  /** Index of the entry, upstream or domain, modulo the length of its list. */
  readonly target: number;
  /** Random number in [0, 1) for the remaining choices of the kind, such as link directions. */
  readonly draw: number;
}
