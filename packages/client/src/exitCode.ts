/** Exit codes of the command line. Scripts rely on them, so the numbers must not change. */
export enum ExitCode {
  /** The query was answered, or the order is in force. */
  Done = 0,
  /** The command line is invalid. */
  Usage = 2,
  /** The call was refused and changed nothing. */
  Refused = 3,
  /** The order was accepted, but is not known to be in force yet. */
  Accepted = 4,
  /** No entry was reached, or the entry did not reach the platform; nothing was changed. */
  Unreachable = 5,
  /** The response was lost; the outcome can be read back by the order's id. */
  Unknown = 6,
  /** A later order for the same object replaced this one. */
  Superseded = 7,
}
