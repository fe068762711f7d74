/**
 * Connects an entry with the platform, the side processes and its peers.
 *
 * Composes the controllers of configuration and membership; contains no logic of its own.
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
import type { LinkContext } from './outboundLink.js';
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

export interface EntryMembershipOptions extends Omit<LinkContext, 'lease'> {
  readonly store: ObjectStore;
  readonly attempts: AttemptListener;
  readonly groups: GroupListener;
  readonly shares: ShareListener;
  /** Address at which other entries reach this one. */
  readonly address: string;
  /** Addresses of other entries to connect to when the platform is down at start. */
  readonly seedAddresses: readonly string[];
}

/** The controllers of one entry that maintain its configuration, registration and links. */
export class EntryMembership {
  readonly feed: ConfigFeed;

  readonly lease: ConfigLease;

  readonly domainRamp: DomainRamp;

  readonly pace = new PlatformPace();

  readonly sideLinks: SideLinks;

  readonly peerLinks: PeerLinks;

  readonly #board: EntryBoard;

  readonly #statusWriter: StatusWriter;

  readonly #housekeeper: Housekeeper;

  readonly #configFollower: ConfigFollower;

  readonly #entryRegistry: RegistryFollower<Registration>;

  readonly #sideRegistry: RegistryFollower<Registration>;

  readonly #vmList: RegistryFollower<VmState>;

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
    this.#statusWriter = new StatusWriter({
      ...context,
      readIncarnation: () => this.#readIncarnation(),
    });
    this.#housekeeper = new Housekeeper(context);
    this.#configFollower = new ConfigFollower(context);
    const { watchTimeoutMs } = timing;
    this.#entryRegistry = new RegistryFollower({
      ...context,
      watchTimeoutMs,
      prefix: ENTRY_REGISTRY_PREFIX,
      parse: parseRegistration,
      onChange: () => this.peerLinks.reconcile(),
      onAnswer: (until) => {
        if (this.#readIncarnation() === board.incarnation) this.lease.confirmRegistration(until);
      },
    });
    this.#sideRegistry = new RegistryFollower({
      ...context,
      watchTimeoutMs,
      prefix: SIDE_REGISTRY_PREFIX,
      parse: parseRegistration,
      onChange: () => this.sideLinks.reconcile(),
    });
    this.#vmList = new RegistryFollower({
      ...context,
      watchTimeoutMs,
      prefix: VM_PREFIX,
      parse: parseVmState,
      onChange: () => this.sideLinks.reconcile(),
    });
    this.sideLinks = new SideLinks({
      ...context,
      readRegistration: (upstream) => this.#sideRegistry.objects.get(upstream),
      isListedLeaving: (upstream) => this.#vmList.objects.get(upstream) === VmState.Leaving,
    });
    this.peerLinks = new PeerLinks({
      ...context,
      readEntries: () => (this.#entryRegistry.isListed ? this.#entryRegistry.objects : undefined),
    });
  }

  /** Starts to follow the platform and to open links. */
  start(): void {
    [this.#configFollower, this.#entryRegistry, this.#sideRegistry, this.#vmList].forEach(
      (follower) => {
        follower.start();
      },
    );
    this.#statusWriter.start();
    this.#housekeeper.start();
    this.peerLinks.start();
    this.sideLinks.start();
  }

  /** Stops following and closes all links. */
  stop(): void {
    [this.#configFollower, this.#entryRegistry, this.#sideRegistry, this.#vmList].forEach(
      (follower) => {
        follower.stop();
      },
    );
    this.#statusWriter.stop();
    this.#housekeeper.stop().catch(() => {});
    this.sideLinks.stop();
    this.peerLinks.stop();
  }

  /** Completes a planned stop: removes this entry from the registry, then closes all links. */
  async leave(): Promise<void> {
    await this.#housekeeper.stop();
    await this.#statusWriter.unregister();
    this.stop();
  }

  /** Accepts a link that another entry has opened. */
  accept(link: Link): void {
    this.peerLinks.accept(link);
  }

  #readIncarnation(): string | undefined {
    return this.#entryRegistry.objects.get(this.#board.name)?.incarnation;
  }
}
