/**
 * Tags of start-time fair queueing (Goyal, Vin and Cheng, 1996).
 *
 * The start tag of a request is the later of the virtual time and the finish tag of its workspace's
 * previous request; the request with the smallest start tag is served first. A workspace that
 * floods a queue only advances its own tags.
 */

/** Finish tags in excess of the waiting requests at which expired tags are deleted. */
const TAG_CLEANUP_MARGIN = 64;

/** Tags of the requests that wait in one queue, or in one priority of it. */
export class FairTags {
  #virtualTime = 0;

  readonly #finishTags = new Map<string, number>();

  /** Start tag that the next request of a workspace gets. */
  peek(workspace: string): number {
    return Math.max(this.#virtualTime, this.#finishTags.get(workspace) ?? 0);
  }

  /**
   * Assigns the start tag of a request that begins to wait.
   *
   * @param span cost of the request, divided by the weight of its workspace
   */
  assign(workspace: string, span: number): number {
    const startTag = this.peek(workspace);
    this.#finishTags.set(workspace, startTag + span);
    return startTag;
  }

  /** Takes back the tag of a request that leaves without being served, if it is the latest one. */
  revoke(workspace: string, startTag: number, span: number): void {
    const isLatest = this.#finishTags.get(workspace) === startTag + span;
    if (isLatest) this.#finishTags.set(workspace, startTag);
  }

  /**
   * Advances the virtual time to the start tag of a request that is served.
   *
   * @param waitingCount requests that still wait
   */
  noteServed(startTag: number, waitingCount: number): void {
    this.#virtualTime = startTag;
    if (this.#finishTags.size < waitingCount + TAG_CLEANUP_MARGIN) return;
    this.#finishTags.forEach((tag, workspace) => {
      if (tag <= this.#virtualTime) this.#finishTags.delete(workspace);
    });
  }
}
