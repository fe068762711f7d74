/**
 * Loaded into a program before it starts: every SIGUSR2 moves its wall clock, forwards and back by
 * turns. The steady clock goes on.
 */

const JUMP_MS = 600_000;

const TrueDate = Date;

let shiftMs = 0;

/** Dates of now are shifted; dates that are given are not. */
class JumpingDate extends TrueDate {
  constructor(...parts: []) {
    if (parts.length > 0) super(...parts);
    else super(JumpingDate.now());
  }

  static override now(): number {
    return TrueDate.now() + shiftMs;
  }
}

Object.assign(globalThis, { Date: JumpingDate });

process.on('SIGUSR2', () => {
  shiftMs = shiftMs > 0 ? -JUMP_MS : JUMP_MS;
});
