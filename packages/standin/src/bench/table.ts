/** Tables of a bench on standard output. */

/** Writes one line. */
export function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/**
 * Writes one row.
 *
 * @param widths of the columns, in characters; the last one is that of all further columns
 * @param startCount columns that are set to the left, all others to the right
 */
export function writeRow(
  cells: readonly string[],
  widths: readonly number[],
  startCount = 1,
): void {
  const last = widths[widths.length - 1] ?? 0;
  const padded = cells.map((cell, at) => {
    const width = widths[at] ?? last;
    return at < startCount ? cell.padEnd(width) : cell.padStart(width);
  });
  writeLine(padded.join(''));
}
