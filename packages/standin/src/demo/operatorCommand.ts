/** Runs the operators' command as a person would. */
import { fileURLToPath } from 'node:url';

import { ChildProgram } from '../fleet/childProgram.js';
import { OPERATOR_TOKEN, type Fleet } from '../fleet/fleet.js';

const COMMAND = fileURLToPath(new URL('../../../../client/bin/radishbay.js', import.meta.url));

export interface CommandResult {
  readonly code: number | null;
  readonly lines: readonly string[];
}

/**
 * Runs `radishbay` with the given words.
 *
 * @param names entries that it is told of; all where not given
 */
export async function runOperatorCommand(
  fleet: Fleet,
  words: readonly string[],
  names: readonly string[] = fleet.entries.map(({ name }) => name),
): Promise<CommandResult> {
  const entries = fleet.entries
    .filter(({ name }) => names.includes(name))
    .flatMap(({ operatorsUrl }) => ['--entry', operatorsUrl]);
  const program = new ChildProgram('radishbay', [
    COMMAND,
    ...words,
    ...entries,
    '--token',
    OPERATOR_TOKEN,
  ]);
  const { code } = await program.waitForEnd();
  return { code, lines: program.lines };
}
