/** Types of a caller's request. */

/** Headers that are forwarded; names in lower case. */
export type HeaderMap = Readonly<Record<string, string>>;

/** A parsed request of a caller, whose workspace has not been authenticated yet. */
export interface CallerRequest {
  /** Unique within the entry's incarnation. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Secret key of the workspace; never logged. */
  readonly workspaceKey: string;
  /** Class named in a header; if undefined, the route determines it. */
  readonly className: string | undefined;
  /** Caller's deadline, from arrival; if undefined, the class determines it. */
  readonly deadlineMs: number | undefined;
  /** Value of the Idempotency-Key header. */
  readonly idempotencyKey: string | undefined;
  /** Model named in the body of a completion request. */
  readonly model: string | undefined;
  /** Whether the answer is to be streamed as server-sent events. */
  readonly isStream: boolean;
  /** Hashes of the prompt's leading blocks, for prefix cache affinity. */
  readonly prefixHashes: readonly string[];
  readonly arrivedAtMs: number;
}
