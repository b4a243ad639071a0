/**
 * Tests of slot requests that reach the owner before it knows that it owns the
 * upstream.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import * as Effect from "effect/Effect";
import { createHybridClock, createManualClock } from "../core/mod.ts";
import { type Frame, FrameSchema } from "../generated/peer_pb.ts";
import { createDeployment, SERVICE } from "../measure/workload.ts";
import type { Member } from "../membership/mod.ts";
import type { Deployment } from "../types.ts";
import { createFleet, defaultFleetPolicy } from "./mod.ts";

function createMember(host: string): Member {
  return {
    host,
    incarnation: 1,
    revision: 1,
    state: "alive",
    dataCentre: "dc-1",
    peerAddress: host,
    publicAddress: host,
  };
}

/** The fleet coordination of the host "owner", which "entry" has dialed. */
function createFixture() {
  const clock = createManualClock();
  const sent: Frame[] = [];
  const members = [createMember("owner"), createMember("entry")];
  const view: { deployment: Deployment | undefined } = {
    deployment: undefined,
  };
  const fleet = createFleet({
    id: "owner",
    incarnation: 1,
    dataCentre: "dc-1",
    fleetToken: "",
    clock,
    hybridClock: createHybridClock(clock),
    recorder: { record() {}, getSince: () => [] },
    membership: { getMembers: () => members, getUsable: () => members },
    policy: { ...defaultFleetPolicy, tryGetOwner: () => "owner" },
    random: () => 0,
    getDeployment: () => view.deployment,
    isUpstreamLeaving: () => false,
    createLink: () => ({
      send() {},
      isOpen: () => false,
      run: Effect.never,
    }),
    defer: (run) => run(),
    isDialedBy: (peer) => peer === "entry",
    trySendBack(_, frame) {
      sent.push(frame);
      return true;
    },
    onPeerLost() {},
    onControlSent() {},
  });
  return { fleet, sent, view };
}

test("a new owner asks early requesters to declare their state again", () => {
  // An upstream is added to the configuration. The entry host gets the version
  // a second before the owner and requests a slot for its only waiting request.
  // It sends only changes and would not request again, so the owner has to ask
  // for its state once it has the configuration.
  const { fleet, sent, view } = createFixture();
  const deployment = createDeployment({
    regions: 1,
    dataCentresPerRegion: 1,
    upstreams: 1,
    slotsPerUpstream: 2,
    weights: [1],
    expectedCost: 10,
  });
  const upstream = deployment.upstreams[0]!.id;
  assert.equal(deployment.upstreams[0]!.service, SERVICE);
  fleet.receiveFrame(
    "entry",
    create(FrameSchema, {
      slotRequests: [{
        upstream,
        wants: [{ team: "team-1", waiting: 1 }],
        full: true,
      }],
    }),
  );
  view.deployment = deployment;
  fleet.reconcile();
  fleet.flush();
  const recalls = sent.flatMap((frame) => frame.recalls);
  assert.deepEqual(
    recalls.map((recall) => [recall.upstream, recall.redeclare]),
    [[upstream, true]],
  );
});
