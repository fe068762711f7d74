/** Where the command line writes to. */
export interface Output {
  /** Answers. */
  readonly write: (text: string) => void;
  /** Failures and remarks. */
  readonly writeError: (text: string) => void;
}
