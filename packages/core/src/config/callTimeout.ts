/** Timeout for calls to the platform, since a connection may stop responding for good. */
import { Err, type Result } from '../outcome.js';
import { StoreErrorKind, type StoreError } from '../ports/objectStore.js';

/**
 * Waits for the outcome of a call for at most the given time. A rejection of the call's promise
 * becomes an error of kind Unknown.
 *
 * @param limitMs time after which the outcome is reported as unknown; a later one is ignored
 */
export function withCallTimeout<T>(
  call: Promise<Result<T, StoreError>>,
  limitMs: number,
): Promise<Result<T, StoreError>> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      resolve(
        Err({
          kind: StoreErrorKind.Unknown,
          detail: `the platform did not answer within ${limitMs} ms`,
        }),
      );
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
