import { deepStrictEqual, match } from "node:assert";
import { test } from "node:test";
import { describeDecision } from "../diagnostics/mod.ts";
import { createHealthDecision } from "./health_decision.ts";

test("the line of an upstream that is healthy again names what had been wrong", () => {
  // Guards against an unhealthy upstream whose line leaves out why, and for how long.
  const decision = createHealthDecision({
    upstream: "i-1",
    isHealthy: true,
    because: "silent",
    inFlight: 2,
    silentMs: 0.4,
    failureShare: 0.123,
    lastedMs: 299.6,
  });
  deepStrictEqual(decision, {
    event: "upstream-healthy",
    upstream: "i-1",
    because: "silent",
    inFlight: 2,
    silentMs: 0,
    failureShare: 0.12,
    lastedMs: 300,
  });
  match(describeDecision(decision), /i-1, silent after 300 ms/);
});
