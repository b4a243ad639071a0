import { strictEqual } from "node:assert";
import { test } from "node:test";
import { mayTakeConnection } from "./handoff_intake.ts";

const idle = {
  utilization: 0.7,
  originUtilization: 0.85,
  isDraining: false,
  isConfigured: true,
  open: 7,
  maxOpen: 8,
};

test("a target takes a connection only while each condition holds", () => {
  // Guards against a target that is overloaded by others, or can't serve.
  strictEqual(mayTakeConnection(idle), true);
  for (
    const change of [
      { utilization: 0.76 },
      { originUtilization: 0.79 },
      { utilization: 0.71, originUtilization: undefined },
      { isDraining: true },
      { isConfigured: false },
      { open: 8 },
    ]
  ) strictEqual(mayTakeConnection({ ...idle, ...change }), false);
});
