/** The command `order`: submits orders and reads back their status. */
import { readFile } from 'node:fs/promises';

import { OrderAction } from '@radishbay/core/model/order.js';
import { parse as parseYaml } from 'yaml';
import type { Argv } from 'yargs';

import type { ExitCode } from './exitCode.js';
import {
  createApi,
  createOrderId,
  declareWaitOptions,
  type GlobalOptions,
  type WaitArguments,
} from './globalOptions.js';
import type { OrderBody } from './operatorApi.js';
import { OrderRunner } from './orderRunner.js';
import type { Output } from './output.js';

type Arguments = Readonly<Record<string, unknown>>;

/** A subcommand of `order` that submits an order. */
interface OrderSubcommand {
  readonly usage: string;
  readonly description: string;
  readonly declare?: (parser: Argv) => Argv;
  readonly build: (options: Arguments) => OrderBody | Promise<OrderBody>;
}

type Finish = (exitCode: ExitCode) => void;

function buildOrder(
  action: OrderAction,
  target: unknown,
  params: Arguments = {},
  isForced = false,
): OrderBody {
  return { action, target: String(target), params, isForced };
}

/** Parses a setting's value as a boolean or a finite number, or else keeps it as text. */
function parseValue(text: string): unknown {
  if (text === 'true') return true;
  if (text === 'false') return false;
  const number = Number(text);
  return text !== '' && Number.isFinite(number) ? number : text;
}

async function readYaml(file: string): Promise<unknown> {
  return parseYaml(await readFile(file, 'utf8')) as unknown;
}

function declareForce(parser: Argv): Argv {
  return parser.option('force', {
    type: 'boolean',
    default: false,
    describe: 'go ahead where the rest would be overloaded',
  });
}

function declareDrain(parser: Argv): Argv {
  return declareForce(parser).option('move-after-ms', {
    type: 'number',
    default: 0,
    describe: 'move work in flight after this time; 0 lets it finish where it is',
  });
}

function declareFile(parser: Argv): Argv {
  return parser.option('file', {
    type: 'string',
    demandOption: true,
    describe: 'YAML file with the object',
  });
}

function checkObjectName(parser: Argv): Argv {
  return parser.check((options) => {
    if (/^[a-z]+\/[^/]+$/u.test(String(options.object))) return true;
    throw new Error(`the object must be KIND/NAME: ${String(options.object)}`);
  });
}

const SUBCOMMANDS: readonly OrderSubcommand[] = [
  {
    usage: 'drain <domain>',
    description: 'take a failure domain out of service',
    declare: declareDrain,
    build: ({ domain, moveAfterMs, force }) =>
      buildOrder(OrderAction.DrainDomain, domain, { moveAfterMs }, force === true),
  },
  {
    usage: 'restore <domain>',
    description: 'bring a failure domain back',
    build: ({ domain }) => buildOrder(OrderAction.RestoreDomain, domain),
  },
  {
    usage: 'set <name> <value>',
    description: 'change a setting of the fleet',
    declare: (parser) => parser.positional('value', { type: 'string' }),
    build: ({ name, value }) =>
      buildOrder(OrderAction.ChangeSetting, name, { value: parseValue(String(value)) }),
  },
  {
    usage: 'put <object>',
    description: 'create or replace a configuration object, KIND/NAME',
    declare: (parser) => checkObjectName(declareFile(parser)),
    build: async ({ object, file }) =>
      buildOrder(OrderAction.PutObject, object, { object: await readYaml(String(file)) }),
  },
  {
    usage: 'remove <object>',
    description: 'remove a configuration object, KIND/NAME',
    declare: (parser) => checkObjectName(declareForce(parser)),
    build: ({ object, force }) => buildOrder(OrderAction.RemoveObject, object, {}, force === true),
  },
  {
    usage: 'rebalance <group>',
    description: 'plan the group anew now',
    build: ({ group }) => buildOrder(OrderAction.Rebalance, group),
  },
  {
    usage: 'pause <group>',
    description: 'stop rebalancing a group',
    build: ({ group }) => buildOrder(OrderAction.PauseRebalance, group),
  },
  {
    usage: 'resume <group>',
    description: 'go on rebalancing a group',
    build: ({ group }) => buildOrder(OrderAction.ResumeRebalance, group),
  },
  {
    usage: 'stop <role> <process>',
    description: 'shut an entry, or the side process of an upstream, down gracefully',
    declare: (parser) =>
      declareForce(parser).positional('role', { choices: ['entry', 'upstream'] as const }),
    build: ({ role, process: name, force }) => {
      const action = role === 'entry' ? OrderAction.StopEntry : OrderAction.StopUpstream;
      return buildOrder(action, name, {}, force === true);
    },
  },
];

function createRunner(options: Arguments, output: Output, isWaiting: boolean): OrderRunner {
  const { waitMs, pollMs, json } = options as unknown as GlobalOptions & WaitArguments;
  const wait = isWaiting ? { waitMs, pollMs } : undefined;
  return new OrderRunner(createApi(options as unknown as GlobalOptions), output, {
    isJson: json,
    wait,
  });
}

function declareSubmit(
  parser: Argv,
  command: OrderSubcommand,
  output: Output,
  finish: Finish,
): Argv {
  const declare = command.declare ?? ((subparser: Argv) => subparser);
  return parser.command(
    command.usage,
    command.description,
    (subparser) => declareWaitOptions(declare(subparser)),
    async (options) => {
      const runner = createRunner(options, output, options.wait);
      finish(await runner.submit(await command.build(options), createOrderId()));
    },
  );
}

function declareShow(parser: Argv, output: Output, finish: Finish): Argv {
  return parser.command(
    ['show <id>', '$0'],
    'read an order back',
    (subparser) => declareWaitOptions(subparser),
    async (options) => {
      const runner = createRunner(options, output, options.wait);
      finish(await runner.show(String((options as Arguments).id)));
    },
  );
}

/** Declares the `order` command and its subcommands. */
export function declareOrder(
  parser: Argv<GlobalOptions>,
  output: Output,
  finish: Finish,
): Argv<GlobalOptions> {
  return parser.command('order', 'give an order, or read one back', (parent) => {
    const orderParser = parent as unknown as Argv;
    SUBCOMMANDS.forEach((command) => declareSubmit(orderParser, command, output, finish));
    return declareShow(orderParser, output, finish);
  });
}
