/**
 * Shares of workspace limits that follow demand, without a coordinator.
 *
 * After the dynamic distribution of a limit by Hseush and Pu ("A practical technique for
 * asynchronous transaction processing", section 2.2.2): all begin with equal shares, and what one
 * does not use is passed on to where it is needed. An entry whose demand is above its share asks
 * one other entry after the other; a grant is taken out of the lender's bucket before it is sent.
 * A lost message loses tokens and never makes any.
 */
import { ConfigKind, type Workspace } from '../config/object.js';
import { ShareListener } from '../membership/shareListener.js';
import { MessageType, type MessageOf } from '../messages/message.js';
import type { Link } from '../ports/link.js';
import type { Metrics } from '../ports/metrics.js';
import type { EntryBoard } from '../state/entryBoard.js';

import { WorkspaceLimiter } from './workspaceLimiter.js';

/** Time in which all other entries are asked once for tokens of one workspace. */
const ROUND_MS = 700;

/** Shortest time between two requests for tokens of one workspace. */
const ASK_MIN_MS = 50;

const MS_PER_SECOND = 1_000;

/** Span that requests and grants are expressed in. */
const SPAN_MS = 1_000;

/** Grants below this are not worth a message. */
const LENT_MIN = 0.1;

/** Workspaces whose last request for tokens is remembered. */
const ASKED_KEPT = 1_024;

type ShareRequest = MessageOf<MessageType.ShareRequest>;
type ShareGrant = MessageOf<MessageType.ShareGrant>;

/** What the shares of one entry need. */
export interface WorkspaceSharesOptions {
  readonly board: EntryBoard;
  readonly metrics: Metrics;
}

/** Limits of workspaces in one entry, with tokens lent among entries. */
export class WorkspaceShares extends ShareListener {
  readonly #board: EntryBoard;

  readonly #metrics: Metrics;

  readonly #limiter = new WorkspaceLimiter();

  /** Last time that tokens were asked for, by workspace, the oldest first. */
  readonly #askedAtMs = new Map<string, number>();

  #nextPeer = 0;

  constructor({ board, metrics }: WorkspaceSharesOptions) {
    super();
    this.#board = board;
    this.#metrics = metrics;
  }

  /** Buckets held now. */
  get size(): number {
    return this.#limiter.size;
  }

  /**
   * Takes one request's token, and asks others for more where demand is above the share.
   *
   * @returns 0 where a token was taken, else the time after which there will be one
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
   * Entries that share the limits: all that are known, with a link or without, so that a partition
   * does not give each part the whole limit.
   */
  get #entryCount(): number {
    return 1 + this.#board.peers.size;
  }

  #lend(workspace: Workspace, link: Link, { demandPerSecond }: ShareRequest): void {
    if (!link.isOpen) return;
    const wanted = (demandPerSecond * SPAN_MS) / MS_PER_SECOND;
    const lent = this.#limiter.lend(workspace, this.#entryCount, wanted, Date.now());
    if (lent < LENT_MIN) {
      this.#limiter.receive(workspace, this.#entryCount, lent, Date.now());
      return;
    }
    this.#metrics.count('limits.lent');
    const sharePerSecond = (lent * MS_PER_SECOND) / SPAN_MS;
    const type = MessageType.ShareGrant;
    link.send({ type, workspace: workspace.name, sharePerSecond, validMs: SPAN_MS });
  }

  #receive(workspace: Workspace, { sharePerSecond, validMs }: ShareGrant): void {
    const tokens = (sharePerSecond * validMs) / MS_PER_SECOND;
    this.#limiter.receive(workspace, this.#entryCount, tokens, Date.now());
  }

  #askIfShort(workspace: Workspace, nowMs: number): void {
    if (this.#board.peers.size === 0) return;
    const askedAtMs = this.#askedAtMs.get(workspace.name) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - askedAtMs < Math.max(ASK_MIN_MS, ROUND_MS / this.#board.peers.size)) return;
    const shortage = this.#limiter.readShortage(workspace, this.#entryCount, nowMs);
    if (shortage < LENT_MIN) return;
    this.#rememberAsked(workspace.name, nowMs);
    this.#ask(workspace.name, shortage);
  }

  #ask(workspace: string, shortage: number): void {
    const links = [...this.#board.peers.values()].filter(({ link }) => link?.isOpen);
    this.#nextPeer += 1;
    const link = links[this.#nextPeer % Math.max(1, links.length)]?.link;
    const demandPerSecond = (shortage * MS_PER_SECOND) / SPAN_MS;
    link?.send({ type: MessageType.ShareRequest, workspace, demandPerSecond });
  }

  #rememberAsked(workspace: string, nowMs: number): void {
    this.#askedAtMs.delete(workspace);
    this.#askedAtMs.set(workspace, nowMs);
    if (this.#askedAtMs.size <= ASKED_KEPT) return;
    const [oldest] = this.#askedAtMs.keys();
    if (oldest !== undefined) this.#askedAtMs.delete(oldest);
  }
}
