/** Faults that the stand-in platform can inject, and the calls that observers receive. */

export enum StoreOperation {
  Get = 'get',
  List = 'list',
  Put = 'put',
  Remove = 'remove',
  Watch = 'watch',
}

/** Fault injected into one call. */
export enum StoreFault {
  None = 'none',
  /** The call is refused at once and has no effect. */
  Unavailable = 'unavailable',
  /** The call is refused at once, and the caller should reduce its call rate. */
  Throttled = 'throttled',
  /** The request never arrives, and the caller gets a timeout. */
  RequestLost = 'request-lost',
  /** The call takes effect, and the caller gets a timeout. */
  AnswerLost = 'answer-lost',
  /** The caller gets a timeout, and the call takes effect afterwards. */
  LateEffect = 'late-effect',
  /** The call has no effect and never returns, as on a connection that went silent. */
  Silent = 'silent',
}

/** A call as passed to observers. */
export interface StoreCall {
  /** Sequence number over all clients of the same platform. */
  readonly number: number;
  /** Name of the calling client. */
  readonly client: string;
  readonly operation: StoreOperation;
  /** Key of the object, or the prefix for lists and watches. */
  readonly key: string;
}

/**
 * Called for each call. Returns the fault to inject into it, or undefined for the client's own
 * fault.
 */
export type StoreObserver = (call: StoreCall) => StoreFault | undefined;
