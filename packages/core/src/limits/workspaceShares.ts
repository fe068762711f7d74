/**
 * Distributes workspace limits among entries by demand, without a coordinator.
 *
 * Follows the dynamic distribution of a limit by Hseush and Pu ("A practical technique for
 * asynchronous transaction processing", section 2.2.2): all entries start with equal shares, and
 * unused tokens are passed on to where they are needed. An entry whose demand exceeds its share
 * asks its peers in turn; the lender takes the tokens out of its bucket before it sends the grant.
 * A lost message loses tokens but never creates any.
 */
import { ConfigKind, type Workspace } from '../config/object.js';
import { ShareListener } from '../membership/shareListener.js';
import { MessageType, type MessageOf } from '../messages/message.js';
import type { Link } from '../ports/link.js';
import type { Metrics } from '../ports/metrics.js';
import type { EntryBoard } from '../state/entryBoard.js';

import { WorkspaceLimiter } from './workspaceLimiter.js';

/** Time in which each peer is asked once for tokens of one workspace. */
const ASK_ROUND_MS = 700;

/** Shortest interval between two requests for tokens of one workspace. */
const ASK_MIN_MS = 50;

const MS_PER_SECOND = 1_000;

/** Time span over which requests and grants give their rates. */
const GRANT_SPAN_MS = 1_000;

/** Fewer tokens than this are neither requested nor granted, to save messages. */
const TOKENS_MIN = 0.1;

/** Number of workspaces whose last request for tokens is remembered. */
const ASKED_WORKSPACES_MAX = 1_024;

type ShareRequest = MessageOf<MessageType.ShareRequest>;
type ShareGrant = MessageOf<MessageType.ShareGrant>;

/** Dependencies of {@link WorkspaceShares}. */
export interface WorkspaceSharesOptions {
  readonly board: EntryBoard;
  readonly metrics: Metrics;
}

/** Enforces workspace limits in one entry; borrows tokens from peers and lends to them. */
export class WorkspaceShares extends ShareListener {
  readonly #board: EntryBoard;

  readonly #metrics: Metrics;

  readonly #limiter = new WorkspaceLimiter();

  /** Time of the last request for tokens by workspace, the oldest first. */
  readonly #askedAtMs = new Map<string, number>();

  #nextPeer = 0;

  constructor({ board, metrics }: WorkspaceSharesOptions) {
    super();
    this.#board = board;
    this.#metrics = metrics;
  }

  /** Number of buckets in memory. */
  get size(): number {
    return this.#limiter.size;
  }

  /**
   * Takes the token for one request, and asks a peer for more if the demand exceeds the share.
   *
   * @returns 0 if a token was taken, otherwise the time in milliseconds until one is available
   */
  take(workspace: Workspace, nowMs: number): number {
    const waitMs = this.#limiter.take(workspace, this.#entryCount, nowMs);
    this.#askIfShort(workspace, nowMs);
    return waitMs;
  }

  override onShareMessage(_peer: string, link: Link, message: ShareRequest | ShareGrant): void {
    const workspace = this.#board.config.get(ConfigKind.Workspace, message.workspace);
    if (!workspace) return;
    if (message.type === MessageType.ShareRequest) this.#lend(workspace, link, message);
    else this.#receive(workspace, message);
  }

  /**
   * Number of entries that share the limits: all known entries, connected or not, so that a
   * network partition does not give each side the whole limit.
   */
  get #entryCount(): number {
    return 1 + this.#board.peers.size;
  }

  #lend(workspace: Workspace, link: Link, { demandPerSecond }: ShareRequest): void {
    if (!link.isOpen) return;
    const wanted = (demandPerSecond * GRANT_SPAN_MS) / MS_PER_SECOND;
    const lent = this.#limiter.lend(workspace, this.#entryCount, wanted, Date.now());
    if (lent < TOKENS_MIN) {
      this.#limiter.receive(workspace, this.#entryCount, lent, Date.now());
      return;
    }
    this.#metrics.count('limits.lent');
    const sharePerSecond = (lent * MS_PER_SECOND) / GRANT_SPAN_MS;
    const type = MessageType.ShareGrant;
    link.send({ type, workspace: workspace.name, sharePerSecond, validMs: GRANT_SPAN_MS });
  }

  #receive(workspace: Workspace, { sharePerSecond, validMs }: ShareGrant): void {
    const tokens = (sharePerSecond * validMs) / MS_PER_SECOND;
    this.#limiter.receive(workspace, this.#entryCount, tokens, Date.now());
  }

  #askIfShort(workspace: Workspace, nowMs: number): void {
    if (this.#board.peers.size === 0) return;
    const askedAtMs = this.#askedAtMs.get(workspace.name) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - askedAtMs < Math.max(ASK_MIN_MS, ASK_ROUND_MS / this.#board.peers.size)) return;
    const shortage = this.#limiter.readShortage(workspace, this.#entryCount, nowMs);
    if (shortage < TOKENS_MIN) return;
    this.#recordAsked(workspace.name, nowMs);
    this.#ask(workspace.name, shortage);
  }

  #ask(workspace: string, shortage: number): void {
    const links = [...this.#board.peers.values()].filter(({ link }) => link?.isOpen);
    this.#nextPeer += 1;
    const link = links[this.#nextPeer % Math.max(1, links.length)]?.link;
    const demandPerSecond = (shortage * MS_PER_SECOND) / GRANT_SPAN_MS;
    link?.send({ type: MessageType.ShareRequest, workspace, demandPerSecond });
  }

  #recordAsked(workspace: string, nowMs: number): void {
    this.#askedAtMs.delete(workspace);
    this.#askedAtMs.set(workspace, nowMs);
    if (this.#askedAtMs.size <= ASKED_WORKSPACES_MAX) return;
    const [oldest] = this.#askedAtMs.keys();
    if (oldest !== undefined) this.#askedAtMs.delete(oldest);
  }
}
