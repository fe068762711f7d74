/** Runs a stand-in as a process of its own; the default action of SIGTERM ends it at once. */
import { parseObject, type JsonObject } from './json.js';
import type { StandinServer } from './standinServer.js';

/** @returns the value after `--NAME`, or the fallback where it is not given */
export function readArgument(name: string, fallback: string): string {
  const index = process.argv.indexOf(`--${name}`);
  return index < 0 ? fallback : (process.argv[index + 1] ?? fallback);
}

/** @returns the object given by `--options JSON`; throws where it is not one */
export function readOptions(): JsonObject {
  const options = parseObject(readArgument('options', '{}'));
  if (!options) throw new Error('--options must be a JSON object');
  return options;
}

/**
 * Starts a server by the arguments `--port N` and `--options JSON` and prints `listening PORT`.
 *
 * A server that stops by itself, by a fault that was asked for, takes the process with it.
 *
 * @param create makes the server from the options
 */
export async function runServer(create: (options: JsonObject) => StandinServer): Promise<void> {
  const server = create(readOptions());
  server.onStop(() => process.kill(process.pid, 'SIGKILL'));
  const port = await server.start(Number(readArgument('port', '0')));
  process.stdout.write(`listening ${port}\n`);
}
