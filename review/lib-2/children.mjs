/**
 * The processes that a case has started. They are ended by their handles, also if
 * the case itself is ended early: by its time limit, or by an error.
 */

const children = new Set();

/** Ends the child with this process at the latest. */
export function own(child) {
  children.add(child);
  child.once("exit", () => children.delete(child));
  return child;
}

process.once("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const name of ["SIGTERM", "SIGINT", "SIGHUP"]) {
  process.once(name, () => process.exit(2));
}
