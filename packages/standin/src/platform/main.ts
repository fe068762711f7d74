/** Starts the stand-in platform. Argument: `--port N`. */
import { runServer } from '../http/runServer.js';

import { PlatformServer } from './platformServer.js';

await runServer(() => new PlatformServer());
