/** Field names that hold a byte which no name may hold, and answers with such a name. */

/** Bytes that are neither part of a token nor its end (RFC 9110, 5.6.2). */
const MALFORMED_BYTES: Readonly<Record<string, string>> = {
  blank: ' ',
  tab: '\t',
  LF: '\n',
  CR: '\r',
  NUL: '\0',
  SOH: '\u0001',
  DEL: '\u007f',
  NEL: '\u0085',
  NBSP: '\u00a0',
};

/** Where the byte stands in the name. */
enum NamePosition {
  First = 'first',
  Inside = 'inside',
  Last = 'last',
}

/** Field whose name is malformed. */
export enum MalformedField {
  Length = 'Content-Length',
  Coding = 'Transfer-Encoding',
  Type = 'Content-Type',
  Other = 'X-Other',
}

export interface MalformedName {
  readonly description: string;
  readonly name: string;
}

const LENGTH_HEAD = 'Content-Type: text/plain\r\nX-Other: 1\r\nContent-Length: 2\r\n';

const CHUNKED_HEAD = 'Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\nX-Other: 1\r\n';

function insertByte(name: string, byte: string, position: NamePosition): string {
  if (position === NamePosition.First) return `${byte}${name}`;
  if (position === NamePosition.Last) return `${name}${byte}`;
  const at = name.indexOf('-');
  return `${name.slice(0, at)}${byte}${name.slice(at + 1)}`;
}

/** Lists the forms of a malformed name of one field: each byte at each position. */
export function listMalformedNames(field: MalformedField): readonly MalformedName[] {
  return Object.entries(MALFORMED_BYTES).flatMap(([byteName, byte]) =>
    Object.values(NamePosition).map((position) => ({
      description: `${byteName} ${position}`,
      name: insertByte(field, byte, position),
    })),
  );
}

/**
 * Writes an answer in which one field has another name.
 *
 * @param lines further header lines, each with its line end
 */
export function writeAnswerWithName(field: MalformedField, name: string, lines: string): Buffer {
  const isChunked = field === MalformedField.Coding;
  const head = (isChunked ? CHUNKED_HEAD : LENGTH_HEAD).replace(field, name);
  const body = isChunked ? '2\r\nok\r\n0\r\n\r\n' : 'ok';
  return Buffer.from(`HTTP/1.1 200 OK\r\n${lines}${head}\r\n${body}`, 'latin1');
}
