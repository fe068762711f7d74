/**
 * Resolves the workspace, request class, pool and deadline of a request from the configuration in
 * force.
 */
import { createHash } from 'node:crypto';

import type { ConfigView } from '../config/configView.js';
import { ConfigKind, type Pool, type RequestClass, type Workspace } from '../config/object.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import type { CallerRequest } from '../model/request.js';
import { Err, Ok, type Result } from '../outcome.js';

import { refuseNotRun } from './refusal.js';

/** Longest deadline that a request may have. */
const DEADLINE_LIMIT_MS = 3_600_000;

/** A request with its deadline and the configuration objects that apply to it. */
export interface ClassifiedRequest {
  readonly request: CallerRequest;
  readonly workspace: Workspace;
  readonly requestClass: RequestClass;
  readonly pool: Pool;
  readonly deadlineAtMs: number;
}

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function isRouteOf(requestClass: RequestClass, request: CallerRequest): boolean {
  if (!requestClass.methods.includes(request.method)) return false;
  return request.path.startsWith(requestClass.pathPrefix);
}

/** Classifies requests by the configuration in force. */
export class RequestClassifier {
  readonly #config: ConfigView;

  /** Names of the workspaces by the SHA-256 hash of their keys. */
  #workspaceNamesByKeyHash = new Map<string, string>();

  /** Configuration revision from which the index was built; -1 before the first build. */
  #indexRevision = -1;

  constructor(config: ConfigView) {
    this.#config = config;
  }

  /**
   * Classifies one request.
   *
   * @param nowMs time by the runtime's clock
   * @returns the request with its configuration objects, or a refusal
   */
  classify(request: CallerRequest, nowMs: number): Result<ClassifiedRequest, Refusal> {
    const workspace = this.#findWorkspace(request.workspaceKey);
    if (!workspace) {
      return Err(refuseNotRun(RefusalReason.UnknownWorkspace, 0, 'no workspace matches the key'));
    }
    const requestClass = this.#findClass(request);
    if (!requestClass) {
      return Err(refuseNotRun(RefusalReason.UnknownClass, 0, 'no class matches the request'));
    }
    const pool = this.#config.get(ConfigKind.Pool, requestClass.pool);
    if (!pool) {
      return Err(refuseNotRun(RefusalReason.UnknownPool, 0, `unknown pool ${requestClass.pool}`));
    }
    const deadlineMs = request.deadlineMs ?? requestClass.deadlineMs;
    if (!(deadlineMs > 0 && deadlineMs <= DEADLINE_LIMIT_MS)) {
      return Err(
        refuseNotRun(RefusalReason.BadDeadline, 0, `deadline of ${deadlineMs} ms is out of range`),
      );
    }
    const deadlineAtMs = request.arrivedAtMs + deadlineMs;
    if (nowMs >= deadlineAtMs) {
      return Err(refuseNotRun(RefusalReason.DeadlinePassed, 0, 'the deadline has already passed'));
    }
    return Ok({ request, workspace, requestClass, pool, deadlineAtMs });
  }

  /** Looks up a workspace by its key; an outdated index is rebuilt only when it misses the key. */
  #findWorkspace(key: string): Workspace | undefined {
    const hash = hashKey(key);
    const indexed = this.#readIndex(hash);
    if (indexed) return indexed;
    if (this.#indexRevision === this.#config.revision) return undefined;
    this.#rebuildIndex();
    return this.#readIndex(hash);
  }

  #readIndex(hash: string): Workspace | undefined {
    const name = this.#workspaceNamesByKeyHash.get(hash);
    const workspace = name && this.#config.get(ConfigKind.Workspace, name);
    return workspace && workspace.keySha256 === hash ? workspace : undefined;
  }

  #rebuildIndex(): void {
    const workspaces = this.#config.list(ConfigKind.Workspace);
    this.#workspaceNamesByKeyHash = new Map(
      workspaces.map(({ keySha256, name }) => [keySha256, name]),
    );
    this.#indexRevision = this.#config.revision;
  }

  #findClass(request: CallerRequest): RequestClass | undefined {
    if (request.className !== undefined) {
      return this.#config.get(ConfigKind.RequestClass, request.className);
    }
    return this.#config
      .list(ConfigKind.RequestClass)
      .filter((requestClass) => isRouteOf(requestClass, request))
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  }
}
