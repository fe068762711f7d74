/** Processor time and memory of another process, as Linux counts them. */
import { readFile } from 'node:fs/promises';

/** Clock ticks in a second, as the kernel counts processor time for programs. */
const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const KIB = 1_024;

export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Reads the processor time so far and the resident memory of a process. */
export async function readUsage(pid: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const residentKib = Number(/VmRSS:\s+(\d+)/u.exec(status)?.[1] ?? 0);
  return {
    cpuMs: (ticks * MS_PER_SECOND) / TICKS_PER_SECOND,
    residentBytes: residentKib * KIB,
  };
}
