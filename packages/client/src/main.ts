/** Entry point of the program `radishbay`. */
import { runCommandLine } from './commandLine.js';

process.exitCode = await runCommandLine(process.argv.slice(2), process.env, {
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
