/** What memory is held for; each kind has its own gauge in the metrics. */
export enum MemoryKind {
  /** Heads of unfinished requests with the objects that handle them, on the heap. */
  Head = 'head',
  /** Bodies that are buffered to be sent, or sent again. */
  Body = 'body',
  /** Bytes that the kernel has received on a connection that is not read at present. */
  Unread = 'unread',
  /** Bodies written to an upstream that has not taken them yet. */
  UpstreamBody = 'upstream-body',
  /** Responses and events that are buffered until they are complete. */
  Response = 'response',
  /** Responses written to a caller that has not taken them yet. */
  Answer = 'answer',
}

/** Where memory is held; each region has a limit of its own. */
export enum MemoryRegion {
  Heap = 'heap',
  /** Buffers outside of the heap, including those of the kernel. */
  Buffers = 'buffers',
}

export function getRegion(kind: MemoryKind): MemoryRegion {
  return kind === MemoryKind.Head ? MemoryRegion.Heap : MemoryRegion.Buffers;
}
