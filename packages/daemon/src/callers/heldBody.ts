/**
 * Holds bodies of callers' requests back at their connections.
 *
 * `pause` would collect pieces in the stream instead, each as an object of its own: thousands of
 * them for a body in chunks of one byte. The method that asks for more bytes is replaced while a
 * body is held back; a subclass of the message would cost every request time.
 */
import type http from 'node:http';

const IGNORED_READ = { _read: () => {} };

/** Stops reading; pieces of what has been read already are still emitted. */
export function holdBody(message: http.IncomingMessage): void {
  Object.assign(message, IGNORED_READ);
  message.socket.pause();
}

/** Reads on, if the body was held back. */
export function releaseBody(message: http.IncomingMessage): void {
  if (!Object.hasOwn(message, '_read')) return;
  Reflect.deleteProperty(message, '_read');
  message.socket.resume();
}
