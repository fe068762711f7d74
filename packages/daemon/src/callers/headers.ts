/** Headers of callers, as every way of reading requests takes them. */
import type http from 'node:http';

const BEARER = /^Bearer\s+(\S+)\s*$/iu;

/** Reads a header; the first one where it was sent several times. */
export function readHeader(message: http.IncomingMessage, name: string): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Reads the token of a bearer; undefined where there is none. */
export function readBearer(message: http.IncomingMessage): string | undefined {
  return BEARER.exec(message.headers.authorization ?? '')?.[1];
}
