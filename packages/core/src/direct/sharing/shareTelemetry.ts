/** Logs and metrics of refusals of workspaces that hold their share of a pool. */
import { LogLevel, type Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';

import type { ShareExcess } from './workspaceFairness.js';

const LOG_PART = 'admission';

/** Shortest interval between two log lines about one workspace, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/** Workspaces that are named in metrics, so that the number of time series is bounded. */
const LABELS_MAX = 16;

/** Metric label of all other workspaces. */
const OTHERS = 'others';

/** Workspaces whose refusals are counted for log lines; the oldest is forgotten first. */
const EPISODES_MAX = 64;

export interface ShareTelemetryOptions {
  readonly pool: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Records of one workspace since its last log line. */
interface Episode {
  loggedAtMs: number;
  refused: number;
}

/** Writes the log lines and metrics of one pool. */
export class ShareTelemetry {
  readonly #options: ShareTelemetryOptions;

  readonly #labels = new Set<string>();

  readonly #episodes = new Map<string, Episode>();

  constructor(options: ShareTelemetryOptions) {
    this.#options = options;
  }

  /** Records that a workspace was refused while it held its share. */
  noteRefused(workspace: string, { use, share }: ShareExcess, nowMs: number): void {
    const { pool, log, metrics } = this.#options;
    const label = this.#chooseLabel(workspace);
    metrics.count('workspace.above.share.refused', { pool, workspace: label });
    const episode = this.#findEpisode(workspace);
    episode.refused += 1;
    if (nowMs - episode.loggedAtMs < LOG_INTERVAL_MS) return;
    log.write(LogLevel.Info, LOG_PART, 'A workspace that holds its share was refused.', {
      pool,
      workspace,
      held: Math.round(use * 10) / 10,
      share: Math.round(share * 10) / 10,
      refused: episode.refused,
    });
    Object.assign(episode, { loggedAtMs: nowMs, refused: 0 });
  }

  #chooseLabel(workspace: string): string {
    if (this.#labels.size < LABELS_MAX) this.#labels.add(workspace);
    return this.#labels.has(workspace) ? workspace : OTHERS;
  }

  #findEpisode(workspace: string): Episode {
    const known = this.#episodes.get(workspace);
    if (known) return known;
    const [oldest] = this.#episodes.keys();
    if (oldest !== undefined && this.#episodes.size >= EPISODES_MAX) this.#episodes.delete(oldest);
    const episode = { loggedAtMs: Number.NEGATIVE_INFINITY, refused: 0 };
    this.#episodes.set(workspace, episode);
    return episode;
  }
}
