/** Exit codes of the command line; scripts may rely on them. */
export enum ExitCode {
  /** Answered, or in force. */
  Done = 0,
  Usage = 2,
  /** Refused: nothing was changed. */
  Refused = 3,
  /** Accepted, and not known to be in force yet. */
  Accepted = 4,
  /** No entry, or not the platform behind it, was reached: nothing was changed. */
  Unreachable = 5,
  /** The answer was lost; read the order back by its id. */
  Unknown = 6,
  /** A later order to the same object took its place. */
  Superseded = 7,
}
