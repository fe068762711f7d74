/** Human-readable tables with aligned columns; numbers are right-aligned. */
import type { QueryRow } from '@radishbay/core/model/query.js';

const COLUMN_SEPARATOR = '  ';

type Cell = QueryRow[string] | undefined;

function formatCell(value: Cell): string {
  if (value === undefined || value === '') return '-';
  if (typeof value === 'boolean') return value ? 'yes' : 'no';
  if (typeof value === 'number' && !Number.isInteger(value)) return value.toFixed(2);
  return String(value);
}

function padCell(value: Cell, width: number): string {
  const text = formatCell(value);
  return typeof value === 'number' ? text.padStart(width) : text.padEnd(width);
}

function listColumns(rows: readonly QueryRow[]): readonly string[] {
  return [...new Set(rows.flatMap((row) => Object.keys(row)))];
}

/** Formats rows below a header of column names. */
export function formatTable(rows: readonly QueryRow[]): string {
  if (rows.length === 0) return '(none)\n';
  const columns = listColumns(rows);
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => formatCell(row[column]).length)),
  );
  const header = columns.map((column, index) =>
    typeof rows[0]?.[column] === 'number'
      ? column.padStart(widths[index] ?? 0)
      : column.padEnd(widths[index] ?? 0),
  );
  const lines = rows.map((row) =>
    columns.map((column, index) => padCell(row[column], widths[index] ?? 0)).join(COLUMN_SEPARATOR),
  );
  return [header.join(COLUMN_SEPARATOR), ...lines].map((line) => `${line.trimEnd()}\n`).join('');
}
