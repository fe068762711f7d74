/**
 * Preloaded into a daemon, to raise errors in it: where it reads the headers of a response that
 * names {@link READ_FAULT_HEADER}, and outside of all requests on {@link FAULT_SIGNAL}.
 */
import { ClientRequest, IncomingMessage } from 'node:http';

import { FAULT_SIGNAL, READ_FAULT_HEADER } from './injectedFault.js';

const { prototype } = ClientRequest;
const { emit } = prototype;

prototype.emit = function emitWithFault(event: string | symbol, ...args: unknown[]): boolean {
  const [response] = args;
  const hasFault =
    event === 'response' &&
    response instanceof IncomingMessage &&
    response.rawHeaders.includes(READ_FAULT_HEADER);
  if (hasFault) {
    Object.defineProperty(response, 'headers', {
      get: () => {
        throw new Error('cannot read the headers');
      },
    });
  }
  return emit.call(this, event, ...args);
};

process.on(FAULT_SIGNAL, () => {
  throw new Error('an error outside of all requests');
});
