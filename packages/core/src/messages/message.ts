/**
 * Messages between the processes of the system, and their schemas.
 *
 * An entry opens links to side processes and to other entries. The end that opens the link sends
 * `Hello` first; the other end replies with `Welcome` or closes the link. Every time is either a
 * duration or a reading of the clock of the named process; clocks of different processes are never
 * compared.
 */
import { z } from 'zod';

import { Warmth } from '../model/report.js';
import { Outcome, RefusalReason } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';

import { DEMANDS } from './demandMessage.js';
import { LIMIT_NEWS, PERMIT_ASK, PERMIT_GRANT } from './permitMessage.js';
import { createListSchema } from './readonlySchema.js';
import { WORK_NEWS } from './workMessage.js';
import { WORKSPACE_USAGE } from './workspaceUsageMessage.js';

/** Incremented whenever a message changes in a way that older processes cannot read. */
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

/** Kind of process at one end of a link. */
export enum PeerRole {
  Entry = 'entry',
  Side = 'side',
}

/** State of an attempt that a side process reports in reply to an inquiry. */
export enum AttemptState {
  /** It is proved that the attempt has not run; it is refused from now on, so it never will. */
  Dead = 'dead',
  Running = 'running',
  /** The response is complete and can be resumed from the offset asked for. */
  Finished = 'finished',
  /** It may have reached the upstream, and its response is lost. */
  Lost = 'lost',
}

const BYTES = z.instanceof(Uint8Array);
const HEADERS = z.record(z.string(), z.string());
const COUNT = z.number().int().nonnegative();

/** First message of the end that opens the link. */
const HELLO = z.object({
  type: z.literal(MessageType.Hello),
  protocol: COUNT,
  role: z.enum(PeerRole),
  name: z.string(),
  incarnation: z.string(),
  token: z.string(),
  configRevision: COUNT,
});

/** Reply to `Hello`; a side process also names its upstream. */
const WELCOME = z.object({
  type: z.literal(MessageType.Welcome),
  role: z.enum(PeerRole),
  name: z.string(),
  incarnation: z.string(),
  /** Name of the upstream behind a side process; the name of the entry otherwise. */
  upstream: z.string(),
  configRevision: COUNT,
  /** Reading of the sender's clock, in milliseconds; echoed in `Submit` and `Heartbeat`. */
  tickMs: z.number(),
});

/** Sent by both ends at every heartbeat interval, regardless of other messages. */
const HEARTBEAT = z.object({
  type: z.literal(MessageType.Heartbeat),
  configRevision: COUNT,
  /** Reading of the sender's clock, in milliseconds. */
  tickMs: z.number(),
  /** Last `tickMs` received from the other end. */
  echoTickMs: z.number(),
  /** Whether the sender's configuration lease allows it to start new work. */
  isCurrent: z.boolean(),
  /** Whether the sender is in a planned stop. */
  isStopping: z.boolean(),
  /** Time since the moment up to which an entry's configuration is proved complete. */
  confirmedAgeMs: z.number().nonnegative().optional(),
});

/**
 * Submits an attempt; the side process replies with `Refused`, `Failed`, or `Head`, `Data` and
 * `End`.
 */
const SUBMIT = z.object({
  type: z.literal(MessageType.Submit),
  attemptId: z.string(),
  /** Incarnation of the side process that is addressed; any other refuses the attempt. */
  sideIncarnation: z.string(),
  /** Last tick received from this side process, which refuses an echo that is too old. */
  echoTickMs: z.number(),
  configRevision: COUNT,
  workspace: z.string(),
  className: z.string(),
  priority: COUNT,
  isRepeatable: z.boolean(),
  isStream: z.boolean(),
  /** Time left until the caller's deadline, in milliseconds. */
  remainingMs: z.number().positive(),
  progressTimeoutMs: z.number().positive(),
  method: z.string(),
  path: z.string(),
  headers: HEADERS,
  body: BYTES,
  prefixHashes: z.array(z.string()),
  /** Response bytes that the side process may send before it receives more credit. */
  creditBytes: COUNT,
});

/** The attempt was refused; it has not run and never will. */
const REFUSED = z.object({
  type: z.literal(MessageType.Refused),
  attemptId: z.string(),
  reason: z.enum(RefusalReason),
  retryAfterMs: COUNT,
});

/** Status and headers of a response. */
const HEAD = z.object({
  type: z.literal(MessageType.Head),
  attemptId: z.string(),
  status: COUNT,
  headers: HEADERS,
});

/** Part of a response body. */
const DATA = z.object({
  type: z.literal(MessageType.Data),
  attemptId: z.string(),
  /** Offset of the first byte of `data` in the whole response. */
  offset: COUNT,
  data: BYTES,
});

/** End of a complete response. */
const END = z.object({
  type: z.literal(MessageType.End),
  attemptId: z.string(),
  totalBytes: COUNT,
});

/** The attempt ended without a complete response. */
const FAILED = z.object({
  type: z.literal(MessageType.Failed),
  attemptId: z.string(),
  reason: z.enum(RefusalReason),
  outcome: z.enum([Outcome.NotRun, Outcome.Unknown]),
  retryAfterMs: COUNT,
});

const CANCEL = z.object({ type: z.literal(MessageType.Cancel), attemptId: z.string() });

/** Flow-control credit: allows the side process to send the response up to this offset. */
const CREDIT = z.object({
  type: z.literal(MessageType.Credit),
  attemptId: z.string(),
  upToOffset: COUNT,
});

/** Asks for the state of an attempt, usually on a new link, and for its response from an offset. */
const INQUIRE = z.object({
  type: z.literal(MessageType.Inquire),
  attemptId: z.string(),
  sideIncarnation: z.string(),
  fromOffset: COUNT,
  creditBytes: COUNT,
  /**
   * Tick received from the side process no later than the submission was sent, such as the tick
   * that it echoed. Without it, a side process that has forgotten any attempt can't prove that
   * this one has not run.
   */
  submitTickMs: z.number().optional(),
});

/**
 * Reply to `Inquire`. If the state is running or finished, `Head`, `Data` from the offset and `End`
 * follow.
 */
const INQUIRY_ANSWER = z.object({
  type: z.literal(MessageType.InquiryAnswer),
  attemptId: z.string(),
  state: z.enum(AttemptState),
});

/** Load and state of an upstream, sent by its side process to entries. */
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

/** Changes of the prefix cache of an engine, sent by its side process to entries. */
const CACHE_EVENTS = z.object({
  type: z.literal(MessageType.CacheEvents),
  upstream: z.string(),
  engineIncarnation: z.string(),
  events: z.array(
    z.object({ sequence: COUNT, isStored: z.boolean(), blockHashes: z.array(z.string()) }),
  ),
});

/** Announces the configuration revision that the sender has in force. */
const CONFIG_OFFER = z.object({ type: z.literal(MessageType.ConfigOffer), revision: COUNT });

/** Requests all objects changed after a revision; 0 requests all objects. */
const CONFIG_REQUEST = z.object({
  type: z.literal(MessageType.ConfigRequest),
  afterRevision: COUNT,
});

const STORED_OBJECT = z.object({ key: z.string(), version: COUNT, value: z.unknown() });

/**
 * Configuration objects up to a revision. A full set replaces all objects of the receiver;
 * otherwise the objects are changes, where a missing value means removal. An older version never
 * replaces a newer one.
 */
const CONFIG_OBJECTS = z.object({
  type: z.literal(MessageType.ConfigObjects),
  revision: COUNT,
  isFull: z.boolean(),
  objects: z.array(STORED_OBJECT),
});

/** An order for the engine behind a side process, protected by a fencing number. */
const GROUP_ORDER = z.object({
  type: z.literal(MessageType.GroupOrder),
  orderId: z.string(),
  fencingNumber: COUNT,
  action: z.string(),
  params: z.record(z.string(), z.unknown()),
});

/** Reply to `GroupOrder`. */
const GROUP_REPLY = z.object({
  type: z.literal(MessageType.GroupReply),
  orderId: z.string(),
  isOk: z.boolean(),
  /** Reply of the engine, or on failure the kind of error under `error`. */
  result: z.record(z.string(), z.unknown()),
});

/** Requests a share of a workspace's limit from the entry that manages that limit. */
const SHARE_REQUEST = z.object({
  type: z.literal(MessageType.ShareRequest),
  workspace: z.string(),
  demandPerSecond: z.number().nonnegative(),
});

/** A share of a workspace's limit, valid for `validMs` from its receipt. */
const SHARE_GRANT = z.object({
  type: z.literal(MessageType.ShareGrant),
  workspace: z.string(),
  sharePerSecond: z.number().nonnegative(),
  validMs: z.number().positive(),
});

/** What an entry knows of the prompt parts that were involved in crashes of a pool's upstreams. */
const PROMPT_NEWS = z.object({
  pool: z.string(),
  crashes: createListSchema(
    z.object({
      /** Incarnation of the crashed upstream. */
      upstream: z.string(),
      ageMs: z.number().nonnegative(),
      /** Likelihood of each part as the cause, relative to the others. */
      weights: z.record(z.string(), z.number().positive()),
    }),
  ).optional(),
  /** Time since an answer on a part was last served. */
  servedAgesMs: z.record(z.string(), z.number().nonnegative()).optional(),
  /** Parts of which the entry lets a request through as a trial. */
  trials: createListSchema(z.string()).optional(),
  /** Remaining time for which parts are held back, in milliseconds. */
  holdsMs: z.record(z.string(), z.number().nonnegative()).optional(),
});

export type PromptNews = z.infer<typeof PROMPT_NEWS>;

/**
 * Requests that an entry has in flight at upstreams that it calls directly. Both ends of a link
 * between two entries send it, often enough to serve as a heartbeat.
 */
const UPSTREAM_COUNTS = z.object({
  type: z.literal(MessageType.UpstreamCounts),
  entry: z.string(),
  /** Whether upstreams missing from `counts` have no requests in flight. */
  isFull: z.boolean(),
  /** Number of requests in flight, by upstream id. */
  counts: z.record(z.string(), COUNT),
  /** Whether the entry is in a planned stop and leaves shared duties to other entries. */
  isStopping: z.boolean().optional(),
  /** Slowdown factors of slow upstreams relative to a healthy one, as far as known. */
  paces: z.record(z.string(), z.number().positive()).optional(),
  /** Pool that had stopped accepting work and that the entry has just seen accept it again. */
  recoveredPool: z.string().optional(),
  /** Incarnations of upstreams that are about to stop, as known to the entry. */
  leaving: createListSchema(z.string()).optional(),
  /** Prompt parts that were involved in crashes of upstreams, by pool. */
  prompts: createListSchema(PROMPT_NEWS).optional(),
  /** Request limits of upstreams; sent, even if empty, by entries that can grant permits. */
  limits: createListSchema(LIMIT_NEWS).optional(),
  permitAsk: PERMIT_ASK.optional(),
  permitGrant: PERMIT_GRANT.optional(),
  /** Work left by upstream id; sent, even if empty, with full counts. */
  work: z.record(z.string(), WORK_NEWS).optional(),
  workspaceUsage: WORKSPACE_USAGE.optional(),
  /** What waits and arrives at the entry, by pool. */
  demands: DEMANDS.optional(),
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

/** Message with the given type. */
export type MessageOf<T extends MessageType> = Extract<Message, { type: T }>;

/**
 * Validates a decoded message.
 *
 * @returns the message, or an error text that names the invalid field
 */
export function parseMessage(value: unknown): Result<Message, string> {
  const parsed = MESSAGE.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  return Err(
    `invalid message field ${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'invalid value'}`,
  );
}
