/** Request body that is completely in memory. */
import { RequestBody, type BodySink, type BodyTransfer } from '../../src/ports/requestBody.js';

const COMPLETED_TRANSFER: BodyTransfer = { resume: () => {}, stop: () => {} };

export class InMemoryBody extends RequestBody {
  readonly #data: Buffer;

  constructor(data: Buffer) {
    super();
    this.#data = data;
  }

  override get lengthBytes(): number {
    return this.#data.length;
  }

  override get isComplete(): boolean {
    return true;
  }

  override get isRepeatable(): boolean {
    return true;
  }

  override onReady(listener: () => void): void {
    listener();
  }

  override onRejected(): void {}

  override sendTo(sink: BodySink): BodyTransfer {
    if (this.#data.length > 0) sink.write(this.#data);
    sink.end();
    return COMPLETED_TRANSFER;
  }
}
