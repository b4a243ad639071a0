// Regenerates the reference tables of docs/CONFIGURATION.md from the schemas of
// the settings. The tables start at the first third-level heading below
// "Reference"; the text before them is kept.
import { readFileSync, writeFileSync } from "node:fs";
import { createReference } from "../dist/config/reference.js";

const file = "docs/CONFIGURATION.md";
const page = readFileSync(file, "utf8");
const tablesStart = page.indexOf("### ", page.indexOf("## Reference") + 4);
const textBefore = tablesStart < 0 ? page : page.slice(0, tablesStart);
writeFileSync(file, `${textBefore.trimEnd()}\n\n${createReference()}`);
