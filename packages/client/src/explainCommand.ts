/** The command `explain`: prints one request's history from the logs of one or more processes. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

import type { Argv } from 'yargs';

import { ExitCode } from './exitCode.js';
import type { GlobalOptions } from './globalOptions.js';
import type { Output } from './output.js';

/** Fields that are printed before the message or do not describe the request. */
const OMITTED_FIELDS = new Set([
  'timestamp',
  'steadyMs',
  'process',
  'part',
  'message',
  'level',
  'id',
]);

/** A parsed log line, with its text formatted for printing. */
interface LogLine {
  readonly timestamp: string;
  readonly steadyMs: number;
  readonly process: string;
  readonly text: string;
}

interface ExplainArguments extends GlobalOptions {
  readonly id: string;
  readonly files: readonly string[];
}

/** Parses the JSON object in a log line, skipping any prefix that a log collector added. */
function parseFields(line: string): Readonly<Record<string, unknown>> | undefined {
  const jsonStart = line.indexOf('{');
  if (jsonStart < 0) return undefined;
  try {
    const value: unknown = JSON.parse(line.slice(jsonStart));
    return typeof value === 'object' && value !== null ? { ...value } : undefined;
  } catch {
    return undefined;
  }
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}

/** Parses a log line; undefined if it does not belong to the request. */
function parseLine(line: string, id: string): LogLine | undefined {
  if (!line.includes(id)) return undefined;
  const fields = parseFields(line);
  if (fields?.id !== id) return undefined;
  const { timestamp, steadyMs, process: name, part, message } = fields;
  return {
    timestamp: String(timestamp),
    steadyMs: Number(steadyMs),
    process: String(name),
    text: `${String(part)}: ${String(message)} ${formatFields(fields)}`.trimEnd(),
  };
}

/**
 * Orders lines of one process by its monotonic clock, which never jumps, and lines of different
 * processes by wall-clock time.
 */
function compareLines(a: LogLine, b: LogLine): number {
  if (a.process === b.process) return a.steadyMs - b.steadyMs;
  return a.timestamp.localeCompare(b.timestamp);
}

async function readLines(stream: Readable, id: string): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  const reader = createInterface({ input: stream, crlfDelay: Infinity });
  reader.on('line', (line) => {
    const parsed = parseLine(line, id);
    if (parsed) lines.push(parsed);
  });
  await new Promise<void>((resolve, reject) => {
    stream.on('error', reject);
    reader.on('close', resolve);
  });
  return lines;
}

async function runExplain(options: ExplainArguments, output: Output): Promise<ExitCode> {
  const streams =
    options.files.length > 0
      ? options.files.map((file) => createReadStream(file))
      : [process.stdin];
  const linesByStream = await Promise.all(streams.map((stream) => readLines(stream, options.id)));
  const lines = linesByStream.flat().sort(compareLines);
  if (lines.length === 0) {
    output.writeError(`no log line found for request "${options.id}"\n`);
    return ExitCode.Refused;
  }
  lines.forEach((line) => output.write(`${line.timestamp} ${line.process} ${line.text}\n`));
  return ExitCode.Done;
}

/** Declares the `explain` command. */
export function declareExplain(
  parser: Argv<GlobalOptions>,
  output: Output,
  finish: (exitCode: ExitCode) => void,
): Argv<GlobalOptions> {
  return parser.command(
    'explain <id> [files..]',
    'print the history of one request from log lines in files or on standard input',
    (command) =>
      command
        .positional('id', { type: 'string', demandOption: true })
        .positional('files', { type: 'string', array: true, default: [] }),
    async (options) => finish(await runExplain(options as unknown as ExplainArguments, output)),
  );
}
