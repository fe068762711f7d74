/** Resets connections, and tells one that was reset from one that its peer has ended. */
import type { Socket } from 'node:net';

/**
 * Time for a peer to take what was sent before a reset. Some runtimes report a reset right behind
 * data as an end, which completes a response that ends with its connection.
 */
export const RESET_DELAY_MS = 20;

/** How a connection that has no peer any more ended. */
export enum LostPeerEnd {
  /** The peer had ended the connection, so that all that it sent has arrived. */
  Ended = 'ended',
  /** The connection was reset while it was open, or it is not known. */
  Reset = 'reset',
}

/**
 * Error of a write to a connection that was reset behind its end. On other systems than Linux, a
 * write to any connection that was reset may fail so.
 */
const ENDED_FIRST_CODE = process.platform === 'linux' ? 'EPIPE' : undefined;

/**
 * Calls a listener, before all others of the event, when a connection emits 'end' and has no peer
 * any more: it was reset, either behind its end or without one. Node also emits 'end' for the
 * latter if the reset arrives right behind data: it polls a hang-up, takes that for the end of the
 * data and does not read the error. A connection that was only ended keeps its peer until this side
 * closes it.
 *
 * @returns removes the listener
 */
export function onEndWithoutPeer(socket: Socket, listener: () => void): () => void {
  const handleEnd = (): void => {
    if (socket.remoteAddress === undefined) listener();
  };
  socket.prependListener('end', handleEnd);
  return () => socket.off('end', handleEnd);
}

/**
 * Finds out how a connection without a peer ended, by a write, whose error also destroys the
 * connection. Call it from {@link onEndWithoutPeer}: afterwards, Node refuses to write.
 *
 * @param onFound called once, after this function has returned and before the socket emits 'error'
 */
export function findLostPeerEnd(socket: Socket, onFound: (end: LostPeerEnd) => void): void {
  socket.write('', (error?: NodeJS.ErrnoException | null) => {
    // An error with this code and without a system call is a refusal by Node, which proves nothing.
    const isEnded = error?.syscall === 'write' && error.code === ENDED_FIRST_CODE;
    onFound(isEnded ? LostPeerEnd.Ended : LostPeerEnd.Reset);
  });
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
