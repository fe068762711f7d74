/**
 * Preloaded into a program: every SIGUSR2 makes its wall clock jump, alternately forwards and
 * backwards. The monotonic clock is not affected.
 */

const JUMP_MS = 600_000;

const RealDate = Date;

let offsetMs = 0;

/** Shifts the current time only; dates made from arguments are unchanged. */
class JumpingDate extends RealDate {
  constructor(...args: []) {
    if (args.length > 0) super(...args);
    else super(JumpingDate.now());
  }

  static override now(): number {
    return RealDate.now() + offsetMs;
  }
}

Object.assign(globalThis, { Date: JumpingDate });

process.on('SIGUSR2', () => {
  offsetMs = offsetMs > 0 ? -JUMP_MS : JUMP_MS;
});
