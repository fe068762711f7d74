/** Applies configuration received from entries, and sends them what this process has. */
import { MessageType, type MessageOf } from '../messages/message.js';

import type { LinkSession } from './linkSession.js';
import type { SideOptions } from './sideOptions.js';

/** Synchronizes the configuration with entries. */
export class ConfigSync {
  readonly #options: SideOptions;

  readonly #onChange: () => void;

  /** @param onChange called after objects have changed */
  constructor(options: SideOptions, onChange: () => void) {
    this.#options = options;
    this.#onChange = onChange;
  }

  /** Applies received objects; older versions and invalid objects change nothing. */
  applyObjects(message: MessageOf<MessageType.ConfigObjects>): void {
    const { board, metrics } = this.#options;
    const changes = message.objects.map(({ key, version, value }) => ({ key, version, value }));
    const changed = board.config.apply(changes, message.revision, message.isFull);
    changes
      .filter(({ key }) => board.config.faults.has(key))
      .forEach(() => metrics.count('side.config_rejected'));
    if (changed.length > 0) this.#onChange();
  }

  /**
   * Sends the objects changed after the requested revision. Never sent as a full set, as this
   * process holds only the objects that concern its upstream.
   */
  sendChanges(session: LinkSession, message: MessageOf<MessageType.ConfigRequest>): void {
    const { config } = this.#options.board;
    const objects = config.listChanges(message.afterRevision).map((change) => ({ ...change }));
    session.send({
      type: MessageType.ConfigObjects,
      revision: config.revision,
      isFull: false,
      objects,
    });
  }

  /** Requests the missing objects if the entry has a newer revision. */
  requestNewer(session: LinkSession, revision: number): void {
    const ownRevision = this.#options.board.config.revision;
    if (revision <= ownRevision) return;
    session.send({ type: MessageType.ConfigRequest, afterRevision: ownRevision });
  }
}
