/** Runs an open-loop caller: `--options JSON`; prints its summary as JSON. */
import { isJsonObject, readNumber, readString, type JsonObject } from '../http/json.js';
import { readOptions } from '../http/runServer.js';

import { CallKind, DEFAULT_SHAPE, type CallShape } from './callPlan.js';
import { OpenLoopCaller, type OpenLoopOptions } from './openLoopCaller.js';

const KINDS: ReadonlyMap<string, CallKind> = new Map(
  Object.values(CallKind).map((kind) => [kind, kind]),
);

function readStrings(value: unknown): readonly string[] {
  return Array.isArray(value) ? value.filter((item) => typeof item === 'string') : [];
}

function readHeaders(value: unknown): Readonly<Record<string, string>> {
  const headers = Object.entries(isJsonObject(value) ? value : {});
  return Object.fromEntries(headers.map(([name, text]) => [name, String(text)]));
}

function readShape(shape: JsonObject): CallShape {
  return {
    kind: KINDS.get(String(shape.kind)) ?? DEFAULT_SHAPE.kind,
    weight: readNumber(shape, 'weight', DEFAULT_SHAPE.weight),
    maxTokens: readNumber(shape, 'maxTokens', DEFAULT_SHAPE.maxTokens),
    promptChars: readNumber(shape, 'promptChars', DEFAULT_SHAPE.promptChars),
    prefixCount: readNumber(shape, 'prefixCount', DEFAULT_SHAPE.prefixCount),
    prefixChars: readNumber(shape, 'prefixChars', DEFAULT_SHAPE.prefixChars),
    model: readString(shape, 'model', DEFAULT_SHAPE.model),
    headers: readHeaders(shape.headers),
  };
}

function readCallerOptions(options: JsonObject): OpenLoopOptions {
  const shapes = Array.isArray(options.shapes) ? options.shapes.filter(isJsonObject) : [{}];
  return {
    baseUrls: readStrings(options.baseUrls),
    headers: readHeaders(options.headers),
    seed: readNumber(options, 'seed', 1),
    ratePerSecond: readNumber(options, 'ratePerSecond', 10),
    durationMs: readNumber(options, 'durationMs', 5_000),
    timeoutMs: readNumber(options, 'timeoutMs', 30_000),
    shapes: shapes.map(readShape),
  };
}

const report = await new OpenLoopCaller(readCallerOptions(readOptions())).run();
process.stdout.write(`${JSON.stringify(report.summarise(), undefined, 2)}\n`);
