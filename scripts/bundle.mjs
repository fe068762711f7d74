/** Bundles `radishbayd` for the users' prepared machines into one file that starts quickly. */
import path from 'node:path';

import { build } from 'esbuild';

// Some of the bundled libraries are CommonJS and call `require` for Node's own modules.
const REQUIRE =
  "import { createRequire as createRequireOfBundle } from 'node:module';" +
  'const require = createRequireOfBundle(import.meta.url);';

const WORKSPACE_MODULE = /^@radishbay\/([a-z]+)\/(.+)\.js$/;

/** Takes the workspace's packages from their sources, so that no build has to come before. */
const sources = {
  name: 'workspace-sources',
  setup(bundle) {
    bundle.onResolve({ filter: WORKSPACE_MODULE }, ({ path: module }) => {
      const [, name, file] = WORKSPACE_MODULE.exec(module);
      return { path: path.resolve('packages', name, 'src', `${file}.ts`) };
    });
  },
};

// The UMD build of ts-results hides its parts from bundlers; the other one has no default export.
const results = {
  name: 'ts-results',
  setup(bundle) {
    bundle.onResolve({ filter: /^ts-results$/ }, () => ({ path: 'all', namespace: 'ts-results' }));
    bundle.onLoad({ filter: /.*/, namespace: 'ts-results' }, () => ({
      contents: "import * as all from './esm/index.js'; export default all;",
      resolveDir: path.resolve('node_modules', 'ts-results'),
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/radishbayd.mjs',
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  banner: { js: REQUIRE },
  plugins: [sources, results],
  logLevel: 'warning',
});
