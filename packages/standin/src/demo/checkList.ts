/** What a run has shown, line by line, and whether all of it was right. */

/** Writes the title of a part. */
export function writeTitle(title: string): void {
  process.stdout.write(`\n${title}\n`);
}

/** Collects checks and prints each as it is made. */
export class CheckList {
  #failed = 0;

  #passed = 0;

  get failed(): number {
    return this.#failed;
  }

  get passed(): number {
    return this.#passed;
  }

  /** Notes one check. */
  check(isRight: boolean, sentence: string, seen = ''): void {
    if (isRight) this.#passed += 1;
    else this.#failed += 1;
    const detail = isRight || !seen ? '' : ` (seen: ${seen})`;
    process.stdout.write(`  ${isRight ? 'right' : 'WRONG'}  ${sentence}${detail}\n`);
  }
}
