import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { configs, plugins } from 'eslint-config-airbnb-extended';

const ROOT = fileURLToPath(new URL('.', import.meta.url));
const PACKAGES = [
  ...readdirSync(`${ROOT}/packages`).map((name) => `${ROOT}/packages/${name}`),
  `${ROOT}/platform`,
];

const SYNTAX_RULE = 'no-restricted-syntax';
const RESTRICTED_SYNTAX = configs.base.recommended
  .map(({ rules }) => rules?.[SYNTAX_RULE])
  .find((rule) => rule !== undefined)
  .slice(1);

// Without this option, flags of the process decide how HTTP is parsed.
const STRICT_PARSER = 'Property[key.name="insecureHTTPParser"][value.value=false]';
const HTTP_CALLS = [
  'CallExpression[callee.object.name="http"][callee.property.name=/^(createServer|get|request)$/]',
  'CallExpression[callee.name=/^(createServer|request)$/]',
  'NewExpression[callee.name="WebSocket"]',
];

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'coverage/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  {
    rules: {
      // NodeNext resolution needs the .js ending on relative imports of TypeScript modules.
      'import-x/extensions': 'off',
      // Modules are named after their one noun; a single named export reads the same as several.
      'import-x/prefer-default-export': 'off',
      // Layout belongs to prettier.
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/max-len': [
        'error',
        {
          code: 100,
          ignoreUrls: true,
          ignoreStrings: true,
          ignoreTemplateLiterals: true,
          ignoreRegExpLiterals: true,
          ignoreComments: false,
        },
      ],
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/lines-between-class-members': 'off',
      '@stylistic/brace-style': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/wrap-regex': 'off',
      '@stylistic/spaced-comment': 'off',
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      // The rule's typed twin knows of methods that an abstract class asks for.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': ['error', { ignoreOverrideMethods: true }],
    },
  },
  {
    files: ['packages/{client,core,daemon,link,objects}/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      [SYNTAX_RULE]: [
        'error',
        ...RESTRICTED_SYNTAX,
        {
          selector: HTTP_CALLS.map((call) => `${call}:not(:has(${STRICT_PARSER}))`).join(', '),
          message: 'State insecureHTTPParser: false, or flags of the process decide.',
        },
        {
          selector:
            'NewExpression[callee.name="WebSocketServer"]:not(:has(Property[key.name="server"]))',
          message: 'Pass an HTTP server that states insecureHTTPParser: false.',
        },
      ],
    },
  },
  {
    // Tools of tests and builds are declared once, at the root of the workspace.
    files: ['packages/*/test/**', 'platform/test/**', 'platform/standin/**', 'scripts/**'],
    rules: {
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: [ROOT, ...PACKAGES] },
      ],
    },
  },
  {
    // A command decides the status with which its process ends.
    files: [
      'packages/*/src/main.ts',
      'packages/daemon/src/roles/processLife.ts',
      'platform/src/main.ts',
    ],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    // Scripts run before any build: they need no type information and may block.
    files: ['**/*.js', '**/*.mjs'],
    rules: { 'n/no-sync': 'off' },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    rules: { 'no-console': 'off' },
  },
];
