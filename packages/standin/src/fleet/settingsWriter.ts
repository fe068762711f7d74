/** Writes the settings files of a fleet's daemons into a folder for temporary files. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import { stringify } from 'yaml';

/** A folder of settings files that is removed at the end. */
export class SettingsWriter {
  readonly #dir: string;

  constructor(dir: string) {
    this.#dir = dir;
  }

  /** Creates a writer with an empty folder. */
  static async create(): Promise<SettingsWriter> {
    return new SettingsWriter(await mkdtemp(path.join(os.tmpdir(), 'radishbay-')));
  }

  /** @returns path of the file */
  async write(name: string, settings: Readonly<Record<string, unknown>>): Promise<string> {
    const file = path.join(this.#dir, `${name}.yaml`);
    await writeFile(file, stringify(settings));
    return file;
  }

  async dispose(): Promise<void> {
    await rm(this.#dir, { recursive: true, force: true });
  }
}
