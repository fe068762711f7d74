/** Starts a model engine. Arguments: `--port N --options JSON`. */
import { runServer } from '../http/runServer.js';

import { EngineServer } from './engineServer.js';

await runServer((options) => new EngineServer(options));
