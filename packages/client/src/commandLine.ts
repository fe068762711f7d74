/** Parses the command line, runs one command and returns its exit code. */
import yargs from 'yargs';

import { declareAsk } from './askCommand.js';
import { ExitCode } from './exitCode.js';
import { declareExplain } from './explainCommand.js';
import { declareGlobalOptions, type Environment } from './globalOptions.js';
import { declareOrder } from './orderCommand.js';
import type { Output } from './output.js';

const EPILOGUE = `Exit codes: 0 done or in force, 2 usage, 3 refused, 4 accepted but not yet in force,
5 unreachable, 6 outcome unknown (read the order back by its id), 7 superseded.`;

/**
 * Parses the arguments and runs the command. Usage errors are written to the error output.
 *
 * @param args arguments without the program and script names
 * @returns the exit code
 */
export async function runCommandLine(
  args: readonly string[],
  environment: Environment,
  output: Output,
): Promise<ExitCode> {
  let exitCode = ExitCode.Done;
  const finish = (code: ExitCode): void => {
    exitCode = code;
  };
  const parser = declareGlobalOptions(yargs([]), environment);
  declareAsk(parser, output, finish);
  declareOrder(parser, output, finish);
  declareExplain(parser, output, finish);
  parser
    .scriptName('radishbay')
    .strict()
    .demandCommand(1, 'no command given')
    .epilogue(EPILOGUE)
    .exitProcess(false)
    .showHelpOnFail(false)
    .version(false)
    .fail(false);

  try {
    await parser.parseAsync(args, {}, (_error, _options, text) => {
      if (text) output.write(`${text}\n`);
    });
  } catch (error) {
    output.writeError(`${error instanceof Error ? error.message : String(error)}\n`);
    return ExitCode.Usage;
  }
  return exitCode;
}
