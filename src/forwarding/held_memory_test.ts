import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createHeldMemory, type HeldMemory } from "./held_memory.ts";

/** A response whose size the test sets. */
interface FakeResponse extends Disposable {
  readonly isDropped: boolean;
  /** Sets what it holds, in bytes. */
  setHeld(bytes: number): void;
  /** The same, without telling the memory. */
  setHeldUnnoticed(bytes: number): void;
}

function addResponse(memory: HeldMemory): FakeResponse {
  let heldBytes = 0;
  let isDropped = false;
  const held = memory.hold({
    getHeldBytes: () => heldBytes,
    drop() {
      isDropped = true;
      heldBytes = 0;
    },
  });
  return {
    get isDropped() {
      return isDropped;
    },
    setHeld(bytes) {
      const grownBytes = bytes - heldBytes;
      heldBytes = bytes;
      if (grownBytes > 0) held.onGrown(grownBytes);
    },
    setHeldUnnoticed: (bytes) => void (heldBytes = bytes),
    [Symbol.dispose]: () => held[Symbol.dispose](),
  };
}

test("the response that holds the most is dropped, not the one that arrives last", () => {
  // Guards against small responses that fail because of a large one.
  const memory = createHeldMemory(1_000);
  const [small, large, last] = [1, 2, 3].map(() => addResponse(memory));
  small!.setHeld(200);
  large!.setHeld(700);
  last!.setHeld(101);
  deepStrictEqual(
    [small, large, last].map((each) => each!.isDropped),
    [false, true, false],
  );
});

test("as many responses are dropped as it takes to make room", () => {
  // Guards against a host over its memory although it has dropped a response.
  const memory = createHeldMemory(1_000);
  const [first, second, small] = [1, 2, 3].map(() => addResponse(memory));
  first!.setHeldUnnoticed(1_500);
  second!.setHeldUnnoticed(1_200);
  for (const bytes of [600, 100, 600]) small!.setHeld(bytes);
  deepStrictEqual(
    [first, second, small].map((each) => each!.isDropped),
    [true, true, false],
  );
});

test("what responses no longer hold does not count", () => {
  // Guards against a host that drops responses since it has served many.
  const memory = createHeldMemory(1_000);
  const lasting = addResponse(memory);
  for (let at = 0; at < 100; at++) {
    using passing = addResponse(memory);
    passing.setHeld(400);
    lasting.setHeld(500);
    lasting.setHeld(100);
    strictEqual(passing.isDropped || lasting.isDropped, false);
  }
});
