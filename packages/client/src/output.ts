/** Output streams of the command line. */
export interface Output {
  /** Writes results. */
  readonly write: (text: string) => void;
  /** Writes failures and notes. */
  readonly writeError: (text: string) => void;
}
