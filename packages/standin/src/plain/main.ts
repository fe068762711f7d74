/** Runs a plain service: `--port N`. */
import { runServer } from '../http/runServer.js';

import { PlainServer } from './plainServer.js';

await runServer(() => new PlainServer());
