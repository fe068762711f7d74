/** The command `explain`: one request's history from the log lines of any number of processes. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

import type { Argv } from 'yargs';

import { ExitCode } from './exitCode.js';
import type { GlobalOptions } from './globalOptions.js';
import type { Output } from './output.js';

/** Fields that stand before the sentence, or say nothing of the request. */
const LEADING_FIELDS = new Set([
  'timestamp',
  'steadyMs',
  'process',
  'part',
  'message',
  'level',
  'id',
]);

/** One line of a log. */
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

/** Reads a line's JSON, whatever a collector has put before it. */
function parseFields(line: string): Readonly<Record<string, unknown>> | undefined {
  const at = line.indexOf('{');
  if (at < 0) return undefined;
  try {
    const value: unknown = JSON.parse(line.slice(at));
    return typeof value === 'object' && value !== null ? { ...value } : undefined;
  } catch {
    return undefined;
  }
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name]) => !LEADING_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}

/** Reads one line of the request; undefined where it is of another one. */
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

/** Within one process by its steady clock, which never jumps; across processes by time of day. */
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
  const read = await Promise.all(streams.map((stream) => readLines(stream, options.id)));
  const lines = read.flat().sort(compareLines);
  if (lines.length === 0) {
    output.writeError(`no line of the request "${options.id}"\n`);
    return ExitCode.Refused;
  }
  lines.forEach((line) => output.write(`${line.timestamp} ${line.process} ${line.text}\n`));
  return ExitCode.Done;
}

/** Declares the command. */
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
