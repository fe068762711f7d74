/**
 * Messages between the processes of the system, and their checks.
 *
 * An entry dials side processes and other entries; the dialler sends `Hello` first, the other end
 * answers `Welcome` or closes the link. All times are spans or belong to the clock of the process
 * that is named; no two processes compare clocks.
 */
import { z } from 'zod';

import { Warmth } from '../model/report.js';
import { Outcome, RefusalReason } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';

/** Raised whenever a message changes in a way that older processes cannot read. */
export const PROTOCOL_VERSION = 1;

export enum MessageType {
  Hello = 'hello',
  Welcome = 'welcome',
  Heartbeat = 'heartbeat',
  Submit = 'submit',
  Refused = 'refused',
  Head = 'head',
  Data = 'data',
  End = 'end',
  Failed = 'failed',
  Cancel = 'cancel',
  Credit = 'credit',
  Inquire = 'inquire',
  InquiryAnswer = 'inquiry-answer',
  Report = 'report',
  CacheEvents = 'cache-events',
  ConfigOffer = 'config-offer',
  ConfigRequest = 'config-request',
  ConfigObjects = 'config-objects',
  GroupOrder = 'group-order',
  GroupReply = 'group-reply',
  ShareRequest = 'share-request',
  ShareGrant = 'share-grant',
  UpstreamCounts = 'upstream-counts',
}

/** Which kind of process is at an end of a link. */
export enum PeerRole {
  Entry = 'entry',
  Side = 'side',
}

/** What a side process knows of an attempt that it is asked about. */
export enum AttemptState {
  /** Never seen, and from now on refused: it has not run and will not. */
  Dead = 'dead',
  Running = 'running',
  /** The whole answer is kept and can be resumed from any offset still held. */
  Finished = 'finished',
  /** It reached the upstream, and its answer is lost. */
  Lost = 'lost',
}

const BYTES = z.instanceof(Uint8Array);
const HEADERS = z.record(z.string(), z.string());
const COUNT = z.number().int().nonnegative();

/** First message of the dialling end. */
const HELLO = z.object({
  type: z.literal(MessageType.Hello),
  protocol: COUNT,
  role: z.enum(PeerRole),
  name: z.string(),
  incarnation: z.string(),
  token: z.string(),
  configRevision: COUNT,
});

/** Answer to `Hello`; for a side process it names its upstream. */
const WELCOME = z.object({
  type: z.literal(MessageType.Welcome),
  role: z.enum(PeerRole),
  name: z.string(),
  incarnation: z.string(),
  /** Name of the upstream behind a side process; the name of the entry otherwise. */
  upstream: z.string(),
  configRevision: COUNT,
  /** Reading of the sender's own clock, to be echoed in `Submit` and `Heartbeat`. */
  tickMs: z.number(),
});

/** Sent by both ends at the heartbeat interval, whatever else is sent. */
const HEARTBEAT = z.object({
  type: z.literal(MessageType.Heartbeat),
  configRevision: COUNT,
  /** Sender's clock. */
  tickMs: z.number(),
  /** Last `tickMs` heard from the other end. */
  echoTickMs: z.number(),
  /** Whether the sender could begin new work by its own configuration lease. */
  isCurrent: z.boolean(),
  /** Whether the sender is in a planned stop. */
  isStopping: z.boolean(),
  /** Age of the moment up to which an entry's configuration is proved complete. */
  confirmedAgeMs: z.number().nonnegative().optional(),
});

/** A request to run; the side process answers `Refused`, `Failed`, or `Head`, `Data` and `End`. */
const SUBMIT = z.object({
  type: z.literal(MessageType.Submit),
  attemptId: z.string(),
  /** Incarnation of the side process that is meant; another one refuses. */
  sideIncarnation: z.string(),
  /** Last tick heard from this side process: it refuses one that is too old. */
  echoTickMs: z.number(),
  configRevision: COUNT,
  workspace: z.string(),
  className: z.string(),
  priority: COUNT,
  isRepeatable: z.boolean(),
  isStream: z.boolean(),
  /** Time left until the caller's deadline. */
  remainingMs: z.number().positive(),
  progressTimeoutMs: z.number().positive(),
  method: z.string(),
  path: z.string(),
  headers: HEADERS,
  body: BYTES,
  prefixHashes: z.array(z.string()),
  /** Bytes of answer that the side process may send before more credit. */
  creditBytes: COUNT,
});

/** Proved not run. */
const REFUSED = z.object({
  type: z.literal(MessageType.Refused),
  attemptId: z.string(),
  reason: z.enum(RefusalReason),
  retryAfterMs: COUNT,
});

const HEAD = z.object({
  type: z.literal(MessageType.Head),
  attemptId: z.string(),
  status: COUNT,
  headers: HEADERS,
});

const DATA = z.object({
  type: z.literal(MessageType.Data),
  attemptId: z.string(),
  /** Position of the first byte in the whole answer. */
  offset: COUNT,
  data: BYTES,
});

const END = z.object({
  type: z.literal(MessageType.End),
  attemptId: z.string(),
  totalBytes: COUNT,
});

/** The attempt ended without a whole answer. */
const FAILED = z.object({
  type: z.literal(MessageType.Failed),
  attemptId: z.string(),
  reason: z.enum(RefusalReason),
  outcome: z.enum([Outcome.NotRun, Outcome.Unknown]),
  retryAfterMs: COUNT,
});

const CANCEL = z.object({ type: z.literal(MessageType.Cancel), attemptId: z.string() });

/** Lets the side process send up to this position of the answer. */
const CREDIT = z.object({
  type: z.literal(MessageType.Credit),
  attemptId: z.string(),
  upToOffset: COUNT,
});

/** Asks on a new link what became of an attempt, and for its answer from an offset on. */
const INQUIRE = z.object({
  type: z.literal(MessageType.Inquire),
  attemptId: z.string(),
  sideIncarnation: z.string(),
  fromOffset: COUNT,
  creditBytes: COUNT,
  /**
   * Tick of the side process heard no later than the submission, such as the one it echoed. Without
   * it, a side process that has forgotten any attempt can't prove that this one has not run.
   */
  submitTickMs: z.number().optional(),
});

/** Where the state is running or finished, `Head`, `Data` and `End` follow from the offset. */
const INQUIRY_ANSWER = z.object({
  type: z.literal(MessageType.InquiryAnswer),
  attemptId: z.string(),
  state: z.enum(AttemptState),
});

const REPORT = z.object({
  type: z.literal(MessageType.Report),
  report: z.object({
    upstream: z.string(),
    engineIncarnation: z.string(),
    inFlight: COUNT,
    limit: COUNT,
    warmth: z.enum(Warmth),
    isLeaving: z.boolean(),
    isDrained: z.boolean(),
    kvUsedShare: z.number(),
    queued: COUNT,
    tokensPerSecond: z.number(),
    firstTokenMs: z.number(),
    serviceMs: z.number(),
    stepMs: z.number(),
    models: z.array(z.string()),
  }),
});

const CACHE_EVENTS = z.object({
  type: z.literal(MessageType.CacheEvents),
  upstream: z.string(),
  engineIncarnation: z.string(),
  events: z.array(
    z.object({ sequence: COUNT, isStored: z.boolean(), blockHashes: z.array(z.string()) }),
  ),
});

/** Tells the revision that the sender has in force. */
const CONFIG_OFFER = z.object({ type: z.literal(MessageType.ConfigOffer), revision: COUNT });

/** Asks for all objects changed after a revision; 0 asks for all. */
const CONFIG_REQUEST = z.object({
  type: z.literal(MessageType.ConfigRequest),
  afterRevision: COUNT,
});

const STORED_OBJECT = z.object({ key: z.string(), version: COUNT, value: z.unknown() });

/**
 * Configuration objects up to a revision. A full set replaces what the receiver has; otherwise they
 * are changes, where a missing value means removal. Nothing older replaces anything newer.
 */
const CONFIG_OBJECTS = z.object({
  type: z.literal(MessageType.ConfigObjects),
  revision: COUNT,
  isFull: z.boolean(),
  objects: z.array(STORED_OBJECT),
});

/** An order to the engine behind a side process, under a fencing number. */
const GROUP_ORDER = z.object({
  type: z.literal(MessageType.GroupOrder),
  orderId: z.string(),
  fencingNumber: COUNT,
  action: z.string(),
  params: z.record(z.string(), z.unknown()),
});

const GROUP_REPLY = z.object({
  type: z.literal(MessageType.GroupReply),
  orderId: z.string(),
  isOk: z.boolean(),
  /** Reply of the engine, or the kind of its error under `error`. */
  result: z.record(z.string(), z.unknown()),
});

/** Asks the home entry of a workspace for a share of the workspace's limit. */
const SHARE_REQUEST = z.object({
  type: z.literal(MessageType.ShareRequest),
  workspace: z.string(),
  demandPerSecond: z.number().nonnegative(),
});

/** A share of a workspace's limit, valid for a span from its receipt. */
const SHARE_GRANT = z.object({
  type: z.literal(MessageType.ShareGrant),
  workspace: z.string(),
  sharePerSecond: z.number().nonnegative(),
  validMs: z.number().positive(),
});

/**
 * Requests that an entry has in flight at upstreams that it calls itself; sent both ways on a link
 * between two entries, and often enough to show that the link is alive.
 */
const UPSTREAM_COUNTS = z.object({
  type: z.literal(MessageType.UpstreamCounts),
  entry: z.string(),
  /** Whether upstreams that are not named have none. */
  isFull: z.boolean(),
  /** By the upstream's id. */
  counts: z.record(z.string(), COUNT),
  /** Whether the entry is in a planned stop, and leaves shared duties to others. */
  isStopping: z.boolean().optional(),
  /** Time that slow upstreams take for their work against a sound one, where the entry knows. */
  paces: z.record(z.string(), z.number().positive()).optional(),
  /** A pool that has taken no work, and does again by what the entry has just seen. */
  recoveredPool: z.string().optional(),
  /** Lives of upstreams that are about to end, by what the entry has heard. */
  leaving: z.array(z.string()).readonly().optional(),
});

const MESSAGE = z.discriminatedUnion('type', [
  HELLO,
  WELCOME,
  HEARTBEAT,
  SUBMIT,
  REFUSED,
  HEAD,
  DATA,
  END,
  FAILED,
  CANCEL,
  CREDIT,
  INQUIRE,
  INQUIRY_ANSWER,
  REPORT,
  CACHE_EVENTS,
  CONFIG_OFFER,
  CONFIG_REQUEST,
  CONFIG_OBJECTS,
  GROUP_ORDER,
  GROUP_REPLY,
  SHARE_REQUEST,
  SHARE_GRANT,
  UPSTREAM_COUNTS,
]);

export type Message = z.infer<typeof MESSAGE>;

/** The message of one type. */
export type MessageOf<T extends MessageType> = Extract<Message, { type: T }>;

/**
 * Checks a decoded message.
 *
 * @returns the message, or a sentence that names the fault
 */
export function parseMessage(value: unknown): Result<Message, string> {
  const parsed = MESSAGE.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  return Err(`message field ${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'not readable'}`);
}
