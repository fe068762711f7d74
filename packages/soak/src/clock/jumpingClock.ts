/**
 * Loaded into a program before it starts: every SIGUSR2 moves its wall clock, forwards and back by
 * turns. The steady clock goes on.
 */

const JUMP_MS = 600_000;

const RealDate = Date;

let offsetMs = 0;

/** Dates of now are shifted; dates that are given are not. */
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
