import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createEvacuations, RESTORED_GRACE_MS } from "./evacuations.ts";

function createFixture() {
  const clock = createManualClock(10_000);
  const changes: string[] = [];
  const evacuations = createEvacuations({
    clock,
    onChange: (dataCentre, change) => changes.push(`${dataCentre} ${change}`),
  });
  const update = (at: string, ...dataCentres: readonly string[]) => {
    const [era, version] = at.split(".").map(Number);
    evacuations.update(new Set(dataCentres), { era, version: version! });
  };
  return { clock, changes, evacuations, update };
}

test("an evacuation ends at once when its row is removed", () => {
  const { changes, evacuations, update } = createFixture();
  update("1.5", "wuse", "lekki");
  update("1.6", "lekki");
  deepStrictEqual([...evacuations.getAll()], ["lekki"]);
  deepStrictEqual(changes, ["wuse began", "lekki began", "wuse ended"]);
});

test("an evacuation that a backup does not contain is kept until it is written again", () => {
  // Guards against sending into an evacuated data centre right after a restore.
  const { clock, changes, evacuations, update } = createFixture();
  update("1.5", "wuse");
  update("2.3");
  update("2.4");
  strictEqual(evacuations.getAll().has("wuse"), true);
  clock.advance(RESTORED_GRACE_MS - 1);
  update("2.5", "wuse");
  clock.advance(RESTORED_GRACE_MS);
  strictEqual(evacuations.getAll().has("wuse"), true);
  update("2.6");
  strictEqual(evacuations.getAll().has("wuse"), false);
  deepStrictEqual(changes, ["wuse began", "wuse ended"]);
});

test("an evacuation that is not written again after a restore ends after a while", () => {
  // Guards against a data centre that stays empty since it was taken back while
  // the platform was away.
  const { clock, evacuations, update } = createFixture();
  update("1.5", "wuse");
  update("2.3");
  clock.advance(RESTORED_GRACE_MS);
  strictEqual(evacuations.getAll().has("wuse"), false);
});

test("the set is another one after a change, and the same without", () => {
  const { evacuations, update } = createFixture();
  update("1.5", "wuse");
  const before = evacuations.getAll();
  update("1.6", "wuse");
  strictEqual(evacuations.getAll(), before);
  update("1.7");
  strictEqual(evacuations.getAll() === before, false);
});
