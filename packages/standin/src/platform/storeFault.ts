/** Faults of the stand-in platform, and the numbered calls that observers see. */

export enum StoreOperation {
  Get = 'get',
  List = 'list',
  Put = 'put',
  Remove = 'remove',
  Watch = 'watch',
}

/** What goes wrong with one call. */
export enum StoreFault {
  None = 'none',
  /** Refused at once; nothing happens. */
  Unavailable = 'unavailable',
  /** Refused at once; the caller should call less often. */
  Throttled = 'throttled',
  /** The request never arrives, and the caller is left with a timeout. */
  RequestLost = 'request-lost',
  /** The call takes effect, and the caller is left with a timeout. */
  AnswerLost = 'answer-lost',
  /** The caller is left with a timeout, and the call takes effect after that. */
  LateEffect = 'late-effect',
  /** Nothing happens and no answer ever comes: the connection went silent. */
  Silent = 'silent',
}

/** One call as observers see it. */
export interface StoreCall {
  /** Counts up over all clients of the same objects. */
  readonly number: number;
  /** Name of the client that calls. */
  readonly client: string;
  readonly operation: StoreOperation;
  /** Key, or prefix for lists and watches. */
  readonly key: string;
}

/** Sees each call; may choose a fault for it, otherwise the client's own fault holds. */
export type StoreObserver = (call: StoreCall) => StoreFault | undefined;
