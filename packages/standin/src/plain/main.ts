/** Starts a plain service. Argument: `--port N`. */
import { runServer } from '../http/runServer.js';

import { PlainServer } from './plainServer.js';

await runServer(() => new PlainServer());
