/**
 * Everything that keeps an entry in touch with the platform, the side processes and its peers.
 *
 * Composes the controllers of configuration and membership; holds no decisions of its own.
 */
import { ConfigFeed } from '../config/configFeed.js';
import { ConfigFollower } from '../config/configFollower.js';
import { PlatformPace } from '../config/platformPace.js';
import type { AttemptListener } from '../entry/attemptListener.js';
import { DomainRamp } from '../orders/domainRamp.js';
import type { Link } from '../ports/link.js';
import type { ObjectStore } from '../ports/objectStore.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { ConfigLease } from './configLease.js';
import type { GroupListener } from './groupListener.js';
import { Housekeeper } from './housekeeper.js';
import type { SessionContext } from './dialledLink.js';
import { PeerLinks } from './peerLinks.js';
import {
  ENTRY_REGISTRY_PREFIX,
  parseRegistration,
  parseVmState,
  SIDE_REGISTRY_PREFIX,
  VM_PREFIX,
  VmState,
  type Registration,
} from './registry.js';
import { RegistryFollower } from './registryFollower.js';
import type { ShareListener } from './shareListener.js';
import { SideLinks } from './sideLinks.js';
import { StatusWriter } from './statusWriter.js';

export interface EntryMembershipOptions extends Omit<SessionContext, 'lease'> {
  readonly store: ObjectStore;
  readonly attempts: AttemptListener;
  readonly groups: GroupListener;
  readonly shares: ShareListener;
  /** Address at which other entries reach this one. */
  readonly address: string;
  /** Addresses of entries, to start from while the platform is down. */
  readonly seedAddresses: readonly string[];
}

/** The controllers of one entry that keep configuration and links up. */
export class EntryMembership {
  readonly feed: ConfigFeed;

  readonly lease: ConfigLease;

  readonly domainRamp: DomainRamp;

  readonly pace = new PlatformPace();

  readonly sideLinks: SideLinks;

  readonly peerLinks: PeerLinks;

  readonly #board: EntryBoard;

  readonly #status: StatusWriter;

  readonly #housekeeper: Housekeeper;

  readonly #configFollower: ConfigFollower;

  readonly #entries: RegistryFollower<Registration>;

  readonly #sides: RegistryFollower<Registration>;

  readonly #vms: RegistryFollower<VmState>;

  constructor(options: EntryMembershipOptions) {
    const { board, log, metrics, timing } = options;
    this.#board = board;
    this.feed = new ConfigFeed({ board, log, metrics });
    this.domainRamp = new DomainRamp(board, this.feed);
    this.lease = new ConfigLease({ board, configLeaseMs: timing.configLeaseMs });
    const seedAddresses = options.seedAddresses.filter((seed) => seed !== options.address);
    const context = {
      ...options,
      seedAddresses,
      feed: this.feed,
      lease: this.lease,
      pace: this.pace,
    };
    this.#status = new StatusWriter({
      ...context,
      readRegistered: () => this.#readRegistered(),
    });
    this.#housekeeper = new Housekeeper(context);
    this.#configFollower = new ConfigFollower(context);
    const { watchTimeoutMs } = timing;
    this.#entries = new RegistryFollower({
      ...context,
      watchTimeoutMs,
      prefix: ENTRY_REGISTRY_PREFIX,
      parse: parseRegistration,
      onChange: () => this.peerLinks.reconcile(),
      onAnswer: (until) => {
        if (this.#readRegistered() === board.incarnation) this.lease.confirmRegistration(until);
      },
    });
    this.#sides = new RegistryFollower({
      ...context,
      watchTimeoutMs,
      prefix: SIDE_REGISTRY_PREFIX,
      parse: parseRegistration,
      onChange: () => this.sideLinks.reconcile(),
    });
    this.#vms = new RegistryFollower({
      ...context,
      watchTimeoutMs,
      prefix: VM_PREFIX,
      parse: parseVmState,
      onChange: () => this.sideLinks.reconcile(),
    });
    this.sideLinks = new SideLinks({
      ...context,
      readRegistration: (upstream) => this.#sides.objects.get(upstream),
      isListedLeaving: (upstream) => this.#vms.objects.get(upstream) === VmState.Leaving,
    });
    this.peerLinks = new PeerLinks({
      ...context,
      readEntries: () => (this.#entries.isListed ? this.#entries.objects : undefined),
    });
  }

  /** Begins to follow the platform and to dial. */
  start(): void {
    [this.#configFollower, this.#entries, this.#sides, this.#vms].forEach((follower) => {
      follower.start();
    });
    this.#status.start();
    this.#housekeeper.start();
    this.peerLinks.start();
    this.sideLinks.start();
  }

  /** Stops following and closes all links. */
  stop(): void {
    [this.#configFollower, this.#entries, this.#sides, this.#vms].forEach((follower) => {
      follower.stop();
    });
    this.#status.stop();
    this.#housekeeper.stop().catch(() => {});
    this.sideLinks.stop();
    this.peerLinks.stop();
  }

  /** Ends a planned stop: takes this entry out of the registry, then closes everything. */
  async leave(): Promise<void> {
    await this.#housekeeper.stop();
    await this.#status.unregister();
    this.stop();
  }

  /** Takes a link that another entry has dialled. */
  accept(link: Link): void {
    this.peerLinks.accept(link);
  }

  #readRegistered(): string | undefined {
    return this.#entries.objects.get(this.#board.name)?.incarnation;
  }
}
