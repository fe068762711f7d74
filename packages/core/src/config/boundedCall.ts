/** A bound on calls of the platform: a connection may go silent for good. */
import { Err, type Result } from '../outcome.js';
import { StoreErrorKind, type StoreError } from '../ports/objectStore.js';

/**
 * Waits for a call's outcome, at most for a time.
 *
 * @param limitMs time after which the outcome counts as unknown; a late one is dropped
 */
export function boundCall<T>(
  call: Promise<Result<T, StoreError>>,
  limitMs: number,
): Promise<Result<T, StoreError>> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      resolve(Err({ kind: StoreErrorKind.Unknown, detail: `no answer in ${limitMs} ms` }));
    }, limitMs);
    call.then(
      (outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      },
      (error: unknown) => {
        clearTimeout(timer);
        resolve(Err({ kind: StoreErrorKind.Unknown, detail: String(error) }));
      },
    );
  });
}
