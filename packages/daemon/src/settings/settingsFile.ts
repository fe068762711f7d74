/** Reads settings from YAML and reports all faults at once, each with its line and field. */
import { readFile } from 'node:fs/promises';
import { isMap, LineCounter, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';

import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import { SETTINGS, type Settings } from './settings.js';

/** One fault in a settings file. */
export interface SettingsFault {
  /** Line in the file, from 1; 0 if the file cannot be read. */
  readonly line: number;
  /** Path of the setting, such as `links.port`; in parentheses if no setting is at fault. */
  readonly field: string;
  readonly message: string;
}

type Path = readonly PropertyKey[];

/** Finds the offset of the key or node at a path. */
function findOffset(document: Document, path: Path): number | undefined {
  const parent = document.getIn(path.slice(0, -1), true);
  const last = path.at(-1);
  const pair = isMap(parent)
    ? parent.items.find((item) => String(item.key) === String(last))
    : undefined;
  const key = pair?.key as { range?: readonly number[] } | undefined;
  const node = document.getIn(path, true) as { range?: readonly number[] } | undefined;
  return key?.range?.[0] ?? node?.range?.[0];
}

/** Finds the line of the innermost node on the path that the file contains. */
function findLine(document: Document, counter: LineCounter, path: Path): number {
  const depths = Array.from({ length: path.length + 1 }, (_, index) => path.length - index);
  const start = depths
    .map((depth) => findOffset(document, path.slice(0, depth)))
    .find(Number.isInteger);
  return counter.linePos(start ?? 0).line;
}

/** Splits a schema issue into one entry per field. */
function listIssueFields(issue: z.core.$ZodIssue): readonly { path: Path; message: string }[] {
  if (issue.code !== 'unrecognized_keys') return [{ path: issue.path, message: issue.message }];
  return issue.keys.map((key) => ({ path: [...issue.path, key], message: 'no such setting' }));
}

/**
 * Checks the text of a settings file.
 *
 * @returns settings with defaults applied, or all faults sorted by line
 */
export function parseSettings(text: string): Result<Settings, readonly SettingsFault[]> {
  const counter = new LineCounter();
  const document = parseDocument(text, { lineCounter: counter });
  if (document.errors.length > 0) {
    const faults = document.errors.map((error) => ({
      line: counter.linePos(error.pos[0]).line,
      field: '(yaml)',
      message: error.message.split('\n')[0] ?? error.message,
    }));
    return Err(faults);
  }
  const parsed = SETTINGS.safeParse(document.toJS());
  if (parsed.success) return Ok(parsed.data);
  const faults = parsed.error.issues.flatMap(listIssueFields).map(({ path, message }) => ({
    line: findLine(document, counter, path),
    field: path.map(String).join('.') || '(settings)',
    message,
  }));
  return Err(faults.sort((a, b) => a.line - b.line));
}

/** Reads and checks a settings file. */
export async function readSettings(
  file: string,
): Promise<Result<Settings, readonly SettingsFault[]>> {
  try {
    return parseSettings(await readFile(file, 'utf8'));
  } catch (error) {
    return Err([{ line: 0, field: '(file)', message: `cannot read the file: ${String(error)}` }]);
  }
}
