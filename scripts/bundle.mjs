// Bundles the entry host's program into one file, so that the process reads one
// file at its start instead of about five hundred.
import { build } from "esbuild";

// Defines `require` for the bundled packages that are CommonJS modules. One of
// the packages that they load is optional (see `external`).
const REQUIRE_BANNER =
  "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);";

await build({
  entryPoints: ["target/platform/main.js"],
  outfile: "target/azurestile-entry.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  minifySyntax: true,
  minifyWhitespace: true,
  external: ["dtrace-provider"],
  banner: { js: REQUIRE_BANNER },
  logLevel: "warning",
});
