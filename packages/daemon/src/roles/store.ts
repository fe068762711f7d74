/** Creates the client of the platform from the settings. */
import { HttpObjectStore } from '@radishbay/objects/httpObjectStore.js';

import type { EntrySettings } from '../settings/settings.js';

/** Creates an HTTP client of the platform's object API. */
export function createStore(settings: EntrySettings['platform']): HttpObjectStore {
  const { url, callTimeoutMs, token } = settings;
  return new HttpObjectStore({ baseUrl: url, callTimeoutMs, ...(token ? { token } : {}) });
}
