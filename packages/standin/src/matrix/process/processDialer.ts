/** Dials on the simulated network as one process. */
import type { Link } from '@radishbay/core/ports/link.js';
import { LinkDialer } from '@radishbay/core/ports/linkDialer.js';

import { ProcessLink } from './processLink.js';
import { SimProcess } from './simProcess.js';

/** A dialer whose links belong to a process. */
export class ProcessDialer extends LinkDialer {
  readonly #inner: LinkDialer;

  readonly #owner: SimProcess;

  constructor(inner: LinkDialer, owner: SimProcess) {
    super();
    this.#inner = inner;
    this.#owner = owner;
  }

  override dial(address: string): Link {
    const link = SimProcess.outside(() => this.#inner.dial(address));
    return new ProcessLink(link, this.#owner);
  }
}
