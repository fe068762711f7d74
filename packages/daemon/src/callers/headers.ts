/** Reads request headers; shared by all request parsers. */
import type http from 'node:http';

const BEARER = /^Bearer\s+(\S+)\s*$/iu;

/** Reads a header by its lower-case name; the first value if there are several. */
export function readHeader(message: http.IncomingMessage, name: string): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Reads the bearer token of the `authorization` header; undefined if there is none. */
export function readBearerToken(message: http.IncomingMessage): string | undefined {
  return BEARER.exec(message.headers.authorization ?? '')?.[1];
}
