/**
 * What the demo shows: both kinds of requests, an idempotent repeat through another entry, and a
 * failure domain that is drained and restored. Every step is checked by the stand-ins' records.
 */
import { formatText } from '../engine/completionText.js';
import { MODEL_POOL, PLAIN_POOL, SAMPLE_MODEL, type FleetPlan } from '../fleet/fleetPlan.js';
import type { Fleet } from '../fleet/fleet.js';
import { callHttp, readJson } from '../fleet/httpCall.js';

import { writeTitle, type CheckList } from './checkList.js';
import { runOperatorCommand } from './operatorCommand.js';

const CHOIR_KEY = 'choir-key-0001';
const OFFICERS_KEY = 'officers-key-0001';
const STREAM_TOKENS = 24;
const SHORT_TOKENS = 4;
const REQUESTS_AROUND_DRAIN = 12;
const DRAINED_DOMAIN = 'zone-a';
const WAIT_ORDER_MS = '15000';

interface StreamChunk {
  readonly choices: readonly { readonly text: string }[];
}

interface PlainRecordBody {
  readonly byRequest: Readonly<Record<string, number>>;
}

interface EngineRecordBody {
  readonly executions: Readonly<Record<string, unknown>>;
}

function bearer(key: string): Readonly<Record<string, string>> {
  return { authorization: `Bearer ${key}` };
}

/** Text of a stream of server-sent events, or undefined where it is not whole. */
export function readStreamText(sse: string): string | undefined {
  const events = sse.split('\n\n').filter((event) => event.startsWith('data: '));
  if (events.at(-1) !== 'data: [DONE]') return undefined;
  const chunks = events.slice(0, -1).map((event) => JSON.parse(event.slice(6)) as StreamChunk);
  return chunks.map((chunk) => chunk.choices[0]?.text ?? '').join('');
}

/** Plays the demo against a running fleet. */
export class Story {
  readonly #fleet: Fleet;

  readonly #plan: FleetPlan;

  readonly #checks: CheckList;

  constructor(fleet: Fleet, plan: FleetPlan, checks: CheckList) {
    this.#fleet = fleet;
    this.#plan = plan;
    this.#checks = checks;
  }

  async play(): Promise<void> {
    await this.#streamCompletion();
    await this.#confirmSwap();
    await this.#refuse();
    await this.#drainAndRestore();
  }

  #entryUrl(index: number): string {
    return this.#fleet.entries[index % this.#fleet.entries.length]?.callersUrl ?? '';
  }

  async #streamCompletion(): Promise<void> {
    writeTitle('A choir director asks for bell assignments (streamed completion)');
    const prompt = 'Suggest bell assignments for twelve ringers.';
    const answer = await callHttp({
      method: 'POST',
      url: `${this.#entryUrl(0)}/v1/completions`,
      headers: bearer(CHOIR_KEY),
      body: { model: SAMPLE_MODEL, prompt, max_tokens: STREAM_TOKENS, stream: true },
    });
    const sse = answer.ok ? answer.val.text : '';
    const isWhole = readStreamText(sse) === formatText(prompt, STREAM_TOKENS);
    this.#checks.check(isWhole, `the stream of ${STREAM_TOKENS} tokens came whole`, sse);
  }

  async #confirmSwap(): Promise<void> {
    writeTitle('Two choirs confirm a swap, and repeat it through the other entry');
    const body = { requestId: 'swap-17', from: 'choir-1', to: 'choir-2' };
    const headers = { ...bearer(OFFICERS_KEY), 'idempotency-key': 'swap-17' };
    const answers = await [0, 1].reduce<Promise<string[]>>(async (before, index) => {
      const texts = await before;
      const url = `${this.#entryUrl(index)}/swaps`;
      const answer = await callHttp({ method: 'POST', url, headers, body });
      const text = answer.ok ? `${answer.val.status} ${answer.val.text}` : answer.val.detail;
      return [...texts, text];
    }, Promise.resolve([]));
    this.#checks.check(
      answers[0]?.startsWith('200 ') ?? false,
      'the swap is confirmed',
      answers[0],
    );
    this.#checks.check(answers[0] === answers[1], 'the repeat has the same answer', answers[1]);
    const runs = await this.#countSwaps('swap-17');
    this.#checks.check(runs === 1, 'the exchange carried it out once', String(runs));
  }

  async #countSwaps(requestId: string): Promise<number> {
    const records = await Promise.all(
      this.#plan.upstreams
        .filter(({ pool }) => pool === PLAIN_POOL)
        .map(({ name }) => readJson({ url: `${this.#fleet.readEngineUrl(name)}/record` })),
    );
    return records
      .map((record) => (record as PlainRecordBody).byRequest[requestId] ?? 0)
      .reduce((sum, count) => sum + count, 0);
  }

  async #refuse(): Promise<void> {
    writeTitle('Somebody without a key asks');
    const answer = await callHttp({
      method: 'POST',
      url: `${this.#entryUrl(0)}/swaps`,
      headers: bearer('nobody'),
      body: { requestId: 'swap-18' },
    });
    const text = answer.ok ? answer.val.text : '';
    const isRefused = answer.ok && answer.val.status === 401 && text.includes('"not-run"');
    this.#checks.check(isRefused, 'the refusal says why, and that nothing was run', text);
  }

  async #drainAndRestore(): Promise<void> {
    writeTitle(`An operator drains ${DRAINED_DOMAIN} and restores it`);
    const wait = ['--wait', '--wait-ms', WAIT_ORDER_MS];
    const drain = await runOperatorCommand(this.#fleet, [
      'order',
      'drain',
      DRAINED_DOMAIN,
      ...wait,
    ]);
    this.#checks.check(drain.code === 0, 'the drain is in force', drain.lines.join(' | '));

    const before = await this.#countRuns(DRAINED_DOMAIN);
    const during = await this.#sendMany('during');
    const after = await this.#countRuns(DRAINED_DOMAIN);
    this.#checks.check(
      during === REQUESTS_AROUND_DRAIN,
      'callers are served meanwhile',
      `${during}`,
    );
    this.#checks.check(after === before, `${DRAINED_DOMAIN} got no new work`, `${after - before}`);

    const restore = await runOperatorCommand(this.#fleet, [
      'order',
      'restore',
      DRAINED_DOMAIN,
      ...wait,
    ]);
    this.#checks.check(restore.code === 0, 'the return is in force', restore.lines.join(' | '));
    const again = await this.#sendMany('again');
    this.#checks.check(again === REQUESTS_AROUND_DRAIN, 'callers are served after it', `${again}`);

    const shown = await runOperatorCommand(this.#fleet, ['ask', 'domains']);
    shown.lines.forEach((line) => process.stdout.write(`         ${line}\n`));
    this.#checks.check(shown.code === 0, 'the operator sees the domains');
  }

  /** Sends completions at once through both entries; counts the right answers. */
  async #sendMany(label: string): Promise<number> {
    const answers = await Promise.all(
      Array.from({ length: REQUESTS_AROUND_DRAIN }, async (_, index) => {
        const prompt = `Summarise score ${index} ${label}.`;
        const answer = await callHttp({
          method: 'POST',
          url: `${this.#entryUrl(index)}/v1/completions`,
          headers: bearer(CHOIR_KEY),
          body: { model: SAMPLE_MODEL, prompt, max_tokens: SHORT_TOKENS },
        });
        return answer.ok && answer.val.text.includes(formatText(prompt, SHORT_TOKENS));
      }),
    );
    return answers.filter(Boolean).length;
  }

  /** Executions that the model engines of a failure domain have begun. */
  async #countRuns(domain: string): Promise<number> {
    const records = await Promise.all(
      this.#plan.upstreams
        .filter((upstream) => upstream.pool === MODEL_POOL && upstream.domain === domain)
        .map(({ name }) => readJson({ url: `${this.#fleet.readEngineUrl(name)}/record` })),
    );
    return records
      .map((record) => Object.keys((record as EngineRecordBody).executions).length)
      .reduce((sum, count) => sum + count, 0);
  }
}
