// Bundles the entry host's program into a small file that is run and a large one
// that it loads, so that the process reads three files at its start instead of
// about five hundred. The third is what both use.
import { build } from "esbuild";

// Defines `require` for the bundled packages that are CommonJS modules. One of
// the packages that they load is optional (see `external`).
const REQUIRE_BANNER =
  "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);";

await build({
  entryPoints: { "azurestile-entry": "target/platform/azurestile_entry.js" },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  chunkNames: "azurestile-entry-[name]",
  bundle: true,
  splitting: true,
  platform: "node",
  format: "esm",
  minifySyntax: true,
  minifyWhitespace: true,
  external: ["dtrace-provider"],
  banner: { js: REQUIRE_BANNER },
  logLevel: "warning",
});
