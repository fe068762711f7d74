/** Runs a stand-in as a separate process. It has no SIGTERM handler, so SIGTERM ends it at once. */
import { parseObject, type JsonObject } from './json.js';
import type { StandinServer } from './standinServer.js';

/** @returns the argument after `--NAME`, or the fallback if it is missing */
export function readArgument(name: string, fallback: string): string {
  const index = process.argv.indexOf(`--${name}`);
  return index < 0 ? fallback : (process.argv[index + 1] ?? fallback);
}

/**
 * Reads the argument `--options JSON`.
 *
 * @returns the parsed object, or an empty one if the argument is missing
 * @throws if the argument is not a JSON object
 */
export function readOptions(): JsonObject {
  const options = parseObject(readArgument('options', '{}'));
  if (!options) throw new Error('--options must be a JSON object');
  return options;
}

/**
 * Starts a server from the arguments `--port N` and `--options JSON` and prints `listening PORT`.
 *
 * When the server stops because of an injected fault, the process kills itself with SIGKILL.
 *
 * @param create creates the server from the options
 */
export async function runServer(create: (options: JsonObject) => StandinServer): Promise<void> {
  const server = create(readOptions());
  server.onStop(() => process.kill(process.pid, 'SIGKILL'));
  const port = await server.start(Number(readArgument('port', '0')));
  process.stdout.write(`listening ${port}\n`);
}
