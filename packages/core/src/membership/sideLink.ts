/** Link to one upstream's side process: sends configuration, and receives reports and replies. */
import { selectForSide } from '../config/sideSelection.js';
import { ConfigSource, type ConfigFeed, type ConfigUpdate } from '../config/configFeed.js';
import type { AttemptListener } from '../entry/attemptListener.js';
import { MessageType, PeerRole, type Message, type MessageOf } from '../messages/message.js';
import type { Link } from '../ports/link.js';
import { SideLinkState, type UpstreamState } from '../state/entryBoard.js';
import type { GroupListener } from './groupListener.js';
import { OutboundLink, type LinkContext } from './outboundLink.js';

const PART = 'side-link';

/** Dependencies that all links to side processes share. */
export interface SideLinkContext extends LinkContext {
  readonly feed: ConfigFeed;
  readonly attempts: AttemptListener;
  readonly groups: GroupListener;
}

/** Maintains the link to a side process, and the state of its upstream. */
export class SideLink extends OutboundLink {
  readonly #sideContext: SideLinkContext;

  readonly #state: UpstreamState;

  /** Revision up to which all relevant changes have been sent on this link. */
  #sentRevision = 0;

  #isRetired = false;

  constructor(context: SideLinkContext, state: UpstreamState) {
    super(context, PART);
    this.#sideContext = context;
    this.#state = state;
  }

  get state(): UpstreamState {
    return this.#state;
  }

  protected get echoTickMs(): number {
    return this.#state.tickMs;
  }

  protected get address(): string {
    return this.#state.address;
  }

  /** Takes the upstream out of service: it gets no new work. */
  retire(): void {
    this.#isRetired = true;
    this.#state.isStopping = true;
  }

  /** Sends an update at once if it is relevant to this side; else the next heartbeat tick does. */
  pushUpdate(update: ConfigUpdate): void {
    const { link } = this;
    if (!link || !this.#isRelevant(update.keys)) return;
    this.#pushConfig(link);
  }

  override onHeartbeatTick(nowMs: number, isSilenceChecked: boolean): void {
    const { link } = this;
    if (link && this.#sentRevision < this.context.board.config.revision) this.#pushConfig(link);
    super.onHeartbeatTick(nowMs, isSilenceChecked);
  }

  protected handleWelcome(link: Link, welcome: MessageOf<MessageType.Welcome>): string | undefined {
    if (welcome.role !== PeerRole.Side || welcome.upstream !== this.#state.name) {
      return `the other end is ${welcome.role} ${welcome.upstream}`;
    }
    this.#state.link = link;
    this.#state.linkState = SideLinkState.Open;
    this.#state.sideIncarnation = welcome.incarnation;
    this.#state.tickMs = welcome.tickMs;
    this.#state.lastReceivedAtMs = Date.now();
    this.#state.configRevision = welcome.configRevision;
    this.#state.isStopping = this.#isRetired;
    return undefined;
  }

  protected onLinkOpen(): void {
    const { link } = this;
    if (!link) return;
    this.#sentRevision = this.#state.configRevision;
    this.#pushConfig(link);
    this.#requestNewer(link);
    this.#sideContext.attempts.onSideOpen(this.#state.name);
    this.#sideContext.groups.onGroupSideOpen(this.#state.name);
  }

  protected onLinkLost(): void {
    const { name, sideIncarnation } = this.#state;
    this.#state.link = undefined;
    this.#state.linkState = SideLinkState.Lost;
    this.#state.report = undefined;
    this.#sideContext.attempts.onSideLost(name, sideIncarnation);
    this.#sideContext.groups.onGroupSideLost(name);
  }

  protected handleMessage(link: Link, message: Message): void {
    this.#state.lastReceivedAtMs = Date.now();
    switch (message.type) {
      case MessageType.Heartbeat:
        this.#handleHeartbeat(link, message);
        break;
      case MessageType.Report:
        this.#handleReport(message);
        break;
      case MessageType.ConfigRequest:
        this.#sentRevision = Math.min(this.#sentRevision, message.afterRevision);
        this.#pushConfig(link);
        break;
      case MessageType.ConfigObjects:
        // A side holds part of the configuration: its objects may be newer, but not its revision.
        this.#sideContext.feed.apply(ConfigSource.Side, message.objects, 0, false);
        break;
      case MessageType.GroupReply:
        this.#sideContext.groups.onGroupReply(this.#state.name, message);
        break;
      default:
        this.#sideContext.attempts.onSideMessage(this.#state.name, message);
    }
  }

  #handleHeartbeat(link: Link, heartbeat: MessageOf<MessageType.Heartbeat>): void {
    this.#state.tickMs = Math.max(this.#state.tickMs, heartbeat.tickMs);
    this.#state.configRevision = heartbeat.configRevision;
    this.#state.isStopping = this.#isRetired || heartbeat.isStopping;
    this.#requestNewer(link);
  }

  #handleReport(message: MessageOf<MessageType.Report>): void {
    this.#state.report = message.report;
    this.#state.reportAtMs = Date.now();
    this.#state.sentSinceReport = 0;
    this.#sideContext.attempts.onSideMessage(this.#state.name, message);
  }

  #requestNewer(link: Link): void {
    const { revision } = this.context.board.config;
    if (this.#state.configRevision <= revision) return;
    link.send({ type: MessageType.ConfigRequest, afterRevision: revision });
  }

  #isRelevant(keys: readonly string[]): boolean {
    const changes = keys.map((key) => ({ key, version: 0, value: undefined }));
    return selectForSide(this.context.board.config, this.#state.name, changes).length > 0;
  }

  #pushConfig(link: Link): void {
    const { config } = this.context.board;
    const { isFull, changes } = this.#sideContext.feed.read(this.#sentRevision);
    const objects = selectForSide(config, this.#state.name, changes);
    if (objects.length === 0 && this.#sentRevision >= config.revision) return;
    this.#sentRevision = Math.max(this.#sentRevision, config.revision);
    const { revision } = config;
    const sent = objects.map(({ key, version, value }) => ({ key, version, value }));
    link.send({ type: MessageType.ConfigObjects, revision, isFull, objects: sent });
  }
}
