import { deepStrictEqual, match } from "node:assert/strict";
import { test } from "node:test";
import type { Member } from "../membership/mod.ts";
import type { TimelineAnswer } from "../router/operator_types.ts";
import type { TimelineEvent } from "../timeline/mod.ts";
import type { FleetClient, HostAnswer } from "./fleet_client.ts";
import { type ProgramHost, runProgramWith } from "./program.ts";
import { timelineProgram } from "./timeline.ts";

type Round = Readonly<Record<string, TimelineAnswer | undefined>>;

function createEvent(host: string, at: number, reason: string): TimelineEvent {
  return { kind: "host-draining", host, at, reason };
}

function createAnswer(
  until: number,
  events: readonly TimelineEvent[],
): TimelineAnswer {
  return { events, until, lost: 0 };
}

/** A fake fleet with one answer a host and round; absent if unreachable. */
function createFixture(rounds: readonly Round[]) {
  const output: string[] = [];
  const paths: string[] = [];
  let round = 0;
  const members = Object.keys(rounds[0]!).map((host) => ({ host }) as Member);
  const client: FleetClient = {
    getRouter: () => Promise.reject(new Error("Not used")),
    getMembers: () => Promise.resolve(members),
    queryAllHosts: () => Promise.reject(new Error("Not used")),
    queryHost<T>(member: Member, path: string) {
      paths.push(path);
      const { host } = member;
      const value = rounds[round]![host];
      const answer = value === undefined
        ? { kind: "silent", host, reason: "No answer" }
        : { kind: "answered", host, value };
      return Promise.resolve(answer as HostAnswer<T>);
    },
  };
  const host: ProgramHost = {
    rawArgs: ["--follow", "--json"],
    env: { AZURESTILE_ROUTER: "127.0.0.1:1", AZURESTILE_OPERATOR_KEY: "k" },
    print: (text) => output.push((JSON.parse(text) as Reasoned).reason),
    printError: (text) => output.push(text),
    createFleetClient: () => client,
    nowMs: () => 0,
    sleep() {
      round++;
      const error = new Error("The rounds are over");
      return round < rounds.length ? Promise.resolve() : Promise.reject(error);
    },
  };
  return { host, output, paths };
}

interface Reasoned {
  readonly reason: string;
}

/**
 * A busy host reports a grant one poll later than another host reports the
 * dispatch that the grant allowed. Events printed in the order of arrival would
 * show the dispatch before its grant.
 */
test("an event is held back until no host can report an earlier one", async () => {
  const { host, output, paths } = createFixture([
    {
      "entry-1": createAnswer(20, [createEvent("entry-1", 15, "effect")]),
      "entry-2": createAnswer(5, []),
    },
    {
      "entry-1": createAnswer(40, []),
      "entry-2": createAnswer(30, [createEvent("entry-2", 10, "cause")]),
    },
  ]);
  await runProgramWith(timelineProgram, host);
  deepStrictEqual(output.slice(0, 2), ["cause", "effect"]);
  match(paths[2]!, /after=20/);
  match(paths[3]!, /after=5/);
});

test("events are not held back for an unreachable host", async () => {
  const { host, output } = createFixture([
    {
      "entry-1": createAnswer(20, [createEvent("entry-1", 15, "told")]),
      "entry-2": undefined,
    },
  ]);
  await runProgramWith(timelineProgram, host);
  deepStrictEqual(output[0], "told");
});
