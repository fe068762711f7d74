/** Resets connections, and tells one that was reset from one that its peer has ended. */
import type { Socket } from 'node:net';

/**
 * Time for a peer to take what was sent before a reset. Some runtimes report a reset right behind
 * data as an end, which completes a response that ends with its connection.
 */
export const RESET_DELAY_MS = 20;

/**
 * Calls a listener, before all others of the event, when a connection emits 'end' although it was
 * reset. Node does so where a reset arrives right behind data: it polls a hang-up, takes that for
 * the end of the data and does not read the error. A connection that was reset has no peer, whereas
 * one that was ended keeps its peer until this side closes it as well.
 *
 * @returns removes the listener
 */
export function onResetAtEnd(socket: Socket, listener: () => void): () => void {
  const handleEnd = (): void => {
    if (socket.remoteAddress === undefined) listener();
  };
  socket.prependListener('end', handleEnd);
  return () => socket.off('end', handleEnd);
}

/**
 * Closes a connection with a reset. While its end is being sent, the connection is closed without
 * one: libuv refuses to reset it then, and Node would neither close it nor let the process end.
 */
export function resetConnection(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
  if (isEnding) socket.destroy();
  else socket.resetAndDestroy();
}

/**
 * Resets connections before the process exits, after {@link RESET_DELAY_MS}. Blocks the process
 * until then: nothing else may close a connection, which would look like the end of its response.
 */
export function resetBeforeExit(sockets: readonly Socket[]): void {
  const endAtMs = performance.now() + RESET_DELAY_MS;
  while (sockets.length > 0 && performance.now() < endAtMs);
  sockets.forEach(resetConnection);
}
