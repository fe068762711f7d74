/** A caller's request as the entry's decisions see it: parsed, its workspace not yet checked. */

/** Headers that travel on to the upstream; names in lower case. */
export type HeaderMap = Readonly<Record<string, string>>;

export interface CallerRequest {
  /** Unique within the entry's incarnation. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Value of the workspace's key; never logged. */
  readonly workspaceKey: string;
  /** Class named by header; undefined where the route decides. */
  readonly className: string | undefined;
  /** Caller's deadline from arrival; undefined where the class decides. */
  readonly deadlineMs: number | undefined;
  /** Value of the Idempotency-Key header. */
  readonly idempotencyKey: string | undefined;
  /** Model named in the body of a completion call. */
  readonly model: string | undefined;
  /** Whether the answer is to be streamed as server-sent events. */
  readonly isStream: boolean;
  /** Hashes of the prompt's leading blocks, for cache affinity. */
  readonly prefixHashes: readonly string[];
  readonly arrivedAtMs: number;
}
