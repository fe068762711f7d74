/** Bundles `radishbayd` into one file, so that it starts quickly on the users' prepared VMs. */
import path from 'node:path';

import { build } from 'esbuild';

// Some of the bundled libraries are CommonJS and call `require` for Node's built-in modules.
const REQUIRE =
  "import { createRequire as createRequireOfBundle } from 'node:module';" +
  'const require = createRequireOfBundle(import.meta.url);';

const WORKSPACE_MODULE = /^@radishbay\/([a-z]+)\/(.+)\.js$/;

/** Resolves this repository's packages to their sources, so that no build is needed before. */
const sources = {
  name: 'workspace-sources',
  setup(bundle) {
    bundle.onResolve({ filter: WORKSPACE_MODULE }, ({ path: module }) => {
      const [, name, file] = WORKSPACE_MODULE.exec(module);
      return { path: path.resolve('packages', name, 'src', `${file}.ts`) };
    });
  },
};

// Bundlers cannot see the exports of the UMD build of ts-results; its ESM build has no default
// export, so one is added.
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
