/**
 * Checks the heads of responses in the bytes that a connection receives.
 *
 * What Node's parser makes of a malformed head depends on its release and options: it may join a
 * line to the value before it, or end the head early. Such a head looks sound once it is parsed.
 */
import type { Socket } from 'node:net';

/** End of a head: that of its last line, and an empty line. */
const HEAD_END = '\r\n\r\n';

const LINE_END = '\r\n';

/** Size from which nothing more is held; the parser refuses heads of a quarter of it. */
const HELD_BYTES_MAX = 64 * 1024;

/** Line breaks before a status line, which Node's parser skips. */
const LEADING_LINE_BREAKS = /^[\r\n]*/u;

const TEXT = '[\\t\\x20-\\x7e\\x80-\\xff]*';

const STATUS_LINE = new RegExp(`^HTTP/\\d\\.\\d \\d{3}(?: ${TEXT})?$`, 'u');

/** A token, a colon, and a value without control bytes (RFC 9110, 5.5 and 5.6.2). */
const FIELD_LINE = new RegExp(`^[!#$%&'*+.^_\`|~0-9A-Za-z-]+:${TEXT}$`, 'u');

/** @returns why a head is malformed; undefined for a valid one */
function findMalformedLine(head: string): string | undefined {
  const lines = head.split(LINE_END);
  const at = lines.findIndex((line, index) => !(index === 0 ? STATUS_LINE : FIELD_LINE).test(line));
  // The line is not quoted: it may hold a secret.
  return at === -1 ? undefined : `line ${at + 1} of the response head is malformed`;
}

/** Holds the bytes of one response until its heads have been checked. */
export class HeadInspector {
  readonly #socket: Socket;

  /** Bytes after the last head that was checked, a character each. */
  #held = '';

  /** @param socket connection whose next bytes belong to the response */
  constructor(socket: Socket) {
    this.#socket = socket;
    // Ahead of the parser's listener, which reports a head as soon as it has read its end.
    socket.prependListener('data', this.#hold);
  }

  /**
   * Checks the next head, informational or final, once Node's parser has reported it.
   *
   * @returns why it is malformed; undefined for a valid one
   */
  inspectNext(): string | undefined {
    const held = this.#held.replace(LEADING_LINE_BREAKS, '');
    const endAt = held.indexOf(HEAD_END);
    if (endAt === -1) return 'the response head does not end with an empty line';
    this.#held = held.slice(endAt + HEAD_END.length);
    return findMalformedLine(held.slice(0, endAt));
  }

  /** Holds no further bytes. */
  stop(): void {
    this.#socket.off('data', this.#hold);
    this.#held = '';
  }

  readonly #hold = (data: Buffer): void => {
    if (this.#held.length < HELD_BYTES_MAX) this.#held += data.toString('latin1');
  };
}
