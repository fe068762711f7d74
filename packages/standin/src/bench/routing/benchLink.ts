/** A link that is open and carries nothing: the bench moves messages itself. */
import { Link } from '@radishbay/core/ports/link.js';

/** An open link. */
export class BenchLink extends Link {
  readonly isOpen = true;

  readonly bufferedBytes = 0;

  override send(): void {}

  override close(): void {}

  override listen(): void {}
}
