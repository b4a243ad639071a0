// Bundles the entry host's program into one file, so that a start reads one file
// and not some five hundred.
import { build } from "esbuild";

// Packages that still use `require` find it here; one of them is optional.
const REQUIRE =
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
  banner: { js: REQUIRE },
  logLevel: "warning",
});
