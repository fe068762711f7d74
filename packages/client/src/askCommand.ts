/** The command `ask`: queries an entry for rows of one kind and prints them. */
import { QueryKind } from '@radishbay/core/model/query.js';
import type { Argv } from 'yargs';

import { ExitCode } from './exitCode.js';
import { createApi, type GlobalOptions } from './globalOptions.js';
import { OrderRunner } from './orderRunner.js';
import type { Output } from './output.js';
import { formatTable } from './table.js';

interface AskArguments extends GlobalOptions {
  readonly kind: QueryKind;
  readonly filter: readonly string[];
}

function splitFilter(filter: string): [string, string] {
  const separatorIndex = filter.indexOf('=');
  return [filter.slice(0, separatorIndex), filter.slice(separatorIndex + 1)];
}

async function runAsk(options: AskArguments, output: Output): Promise<ExitCode> {
  const api = createApi(options);
  const filters = Object.fromEntries(options.filter.map(splitFilter));
  const rows = await api.query(options.kind, filters);
  if (!rows.ok) {
    const runner = new OrderRunner(api, output, { isJson: options.json, wait: undefined });
    return runner.writeFailure(rows.val);
  }
  output.write(options.json ? `${JSON.stringify(rows.val)}\n` : formatTable(rows.val));
  return ExitCode.Done;
}

/** Declares the `ask` command. */
export function declareAsk(
  parser: Argv<GlobalOptions>,
  output: Output,
  finish: (exitCode: ExitCode) => void,
): Argv<GlobalOptions> {
  return parser.command(
    'ask <kind>',
    'ask an entry for what it knows',
    (command) =>
      command
        .positional('kind', { choices: Object.values(QueryKind), demandOption: true })
        .option('filter', {
          type: 'string',
          array: true,
          nargs: 1,
          default: [],
          describe: 'FIELD=VALUE, keeps rows with that value; may be repeated',
        })
        .check((options) => {
          const malformed = options.filter.find((filter) => !/^[^=]+=/u.test(filter));
          if (malformed !== undefined) throw new Error(`--filter is not FIELD=VALUE: ${malformed}`);
          return true;
        }),
    async (options) => finish(await runAsk(options as unknown as AskArguments, output)),
  );
}
