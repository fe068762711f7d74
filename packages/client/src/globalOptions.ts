/** Options shared by all commands. */
import { randomUUID } from 'node:crypto';

import type { Argv } from 'yargs';

import { OperatorApi } from './operatorApi.js';

const DEFAULT_TIMEOUT_MS = 3_000;
const DEFAULT_WAIT_MS = 10_000;
const DEFAULT_POLL_MS = 200;
const NO_ENTRY_MESSAGE = 'no entry given: set --entry or RADISHBAY_ENTRY';

/** Environment variables; some are the defaults of options. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Values of the options of every command. */
export interface GlobalOptions {
  readonly entry: readonly string[];
  readonly token: string;
  readonly json: boolean;
  readonly timeoutMs: number;
}

/** Values of the options of commands that can wait for an order. */
export interface WaitArguments {
  readonly wait: boolean;
  readonly waitMs: number;
  readonly pollMs: number;
}

/** Commands that call no entry and so need no `--entry`. */
const LOCAL_COMMANDS: ReadonlySet<string> = new Set(['explain']);

function splitList(text: string | undefined): string[] {
  return (text ?? '').split(',').filter((part) => part !== '');
}

/** Declares and checks the options of every command. */
export function declareGlobalOptions(parser: Argv, environment: Environment): Argv<GlobalOptions> {
  return parser
    .option('entry', {
      type: 'string',
      array: true,
      requiresArg: true,
      nargs: 1,
      describe: 'URL of an entry; may be repeated (or RADISHBAY_ENTRY, separated by commas)',
      default: splitList(environment.RADISHBAY_ENTRY),
      defaultDescription: 'RADISHBAY_ENTRY',
    })
    .option('token', {
      type: 'string',
      describe: 'operator token (or RADISHBAY_TOKEN)',
      default: environment.RADISHBAY_TOKEN ?? '',
      defaultDescription: 'RADISHBAY_TOKEN',
    })
    .option('json', { type: 'boolean', describe: 'JSON for scripts', default: false })
    .option('timeout-ms', {
      type: 'number',
      describe: 'longest wait for one entry',
      default: DEFAULT_TIMEOUT_MS,
    })
    .check((options) => {
      if (options.help || LOCAL_COMMANDS.has(String(options._[0]))) return true;
      if (options.entry.length === 0) throw new Error(NO_ENTRY_MESSAGE);
      const malformed = options.entry.find((entry) => !URL.canParse(entry));
      if (malformed !== undefined) throw new Error(`--entry is not a URL: ${malformed}`);
      if (!(options['timeout-ms'] > 0)) throw new Error('--timeout-ms must be positive');
      return true;
    }) as unknown as Argv<GlobalOptions>;
}

/** Declares the options of commands that can wait for an order. */
export function declareWaitOptions<T>(parser: Argv<T>): Argv<T & WaitArguments> {
  return parser
    .option('wait', {
      type: 'boolean',
      describe: 'wait until the order is in force everywhere',
      default: false,
    })
    .option('wait-ms', {
      type: 'number',
      describe: 'longest time to wait',
      default: DEFAULT_WAIT_MS,
    })
    .option('poll-ms', {
      type: 'number',
      hidden: true,
      default: DEFAULT_POLL_MS,
    }) as unknown as Argv<T & WaitArguments>;
}

/** Creates the client for the entries given by the options. */
export function createApi(options: GlobalOptions): OperatorApi {
  const { entry: entries, token, timeoutMs } = options;
  return new OperatorApi({ entries, token, timeoutMs });
}

/** Creates a unique id for a new order. */
export function createOrderId(): string {
  return randomUUID();
}
