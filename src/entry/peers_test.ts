import { deepStrictEqual, ok, rejects } from "node:assert";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { systemClock } from "../core/mod.ts";
import type { MembershipMessage } from "../membership/mod.ts";
import { createDatagramCodec } from "../peers/mod.ts";
import type { SentDatagram } from "../testing/datagram_sender_worker.ts";
import { blockEventLoop } from "../testing/block_event_loop.ts";
import { FLEET_NAME, openPeers, type Peers } from "./peers.ts";
import type { EntrySettings } from "./types.ts";

/** Number of starts during which datagrams arrive. */
const STARTS = 20;

/** Time for which a host that has started hears them, in ms. */
const HEARING_MS = 5;

/** Finds a port at which neither datagrams nor connections are received. */
async function findPort(): Promise<number> {
  while (true) {
    const server = createServer();
    const port = await listenTcp(server, 0);
    const socket = createSocket("udp4");
    const isFree = await tryBind(socket, port);
    await new Promise<void>((resolve) => socket.close(resolve));
    await new Promise((resolve) => server.close(resolve));
    if (isFree) return port;
  }
}

async function listenTcp(server: Server, port: number): Promise<number> {
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  return (server.address() as AddressInfo).port;
}

function tryBind(socket: Socket, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    socket.once("error", () => resolve(false));
    socket.bind(port, "127.0.0.1", () => resolve(true));
  });
}

function openHost(
  peerAddress: string,
  { onSuspect = () => {}, onProbe = () => {}, onFact = () => {} }: {
    onSuspect?(): void;
    onProbe?(): void;
    onFact?(): void;
  },
): Promise<Peers> {
  const settings = {
    peerAddress,
    dataCentre: "one",
    callerAddress: peerAddress,
  } as EntrySettings;
  return openPeers(settings, {
    clock: systemClock,
    incarnation: 1,
    random() {
      onProbe();
      return 0;
    },
    onMemberChanged: ({ state }) => void (state === "suspect" && onSuspect()),
    onFact,
    onDirectFact: () => {},
    tryGetTable: () => undefined,
    onFailed: (reason) => {
      throw new Error(reason);
    },
  });
}

/** A message with a fact. */
const factMessage: MembershipMessage = {
  from: "127.0.0.1:1",
  incarnation: 1,
  sequence: 1,
  isAck: false,
  wantsSync: false,
  probeTarget: "",
  configVersion: 0,
  configDigest: "",
  updates: [],
  facts: [{ key: "some-fact", version: 1, value: "" }],
  directFacts: [],
};

/** Starts a thread that sends the datagram; resolves once it has begun. */
async function startDatagramSender(workerData: SentDatagram): Promise<Worker> {
  const url = new URL("../testing/datagram_sender_worker.js", import.meta.url);
  const sender = new Worker(url, { workerData });
  await once(sender, "message");
  return sender;
}

function countAlive({ membership }: Peers): number {
  return membership.getMembers().filter((each) => each.state === "alive")
    .length;
}

test("a host with long event-loop iterations suspects no host whose reply is unread", async () => {
  // Guards against a paused host that removes healthy hosts from its answers.
  const addresses = [
    `127.0.0.1:${await findPort()}`,
    `127.0.0.1:${await findPort()}`,
  ];
  const suspects: string[] = [];
  let pauses = 0;
  const onProbe = () => {
    if (pauses === 0) return;
    pauses--;
    // Blocks after the probe is sent and before its reply is read.
    process.nextTick(() => blockEventLoop(700));
  };
  const open = (at: number) =>
    openHost(addresses[at]!, {
      onSuspect: () => void suspects.push(`by host ${at}`),
      onProbe,
    });
  await using a = await open(0);
  await using b = await open(1);
  const tasks = [a, b].map((each) => {
    each.setSeeds(addresses);
    return Effect.runFork(each.run);
  });
  while (countAlive(a) < 2 || countAlive(b) < 2) await sleep(20);
  pauses = 4;
  while (pauses > 0) await sleep(20);
  await sleep(300);
  deepStrictEqual(suspects, []);
  for (const task of tasks) await Effect.runPromise(Fiber.interrupt(task));
});

test("a host whose port for connections is taken keeps no socket open", async () => {
  // Guards against a process that neither starts nor ends.
  const port = await findPort();
  const taken = createServer();
  await listenTcp(taken, port);
  const open = openHost(`127.0.0.1:${port}`, {});
  await rejects(open, /EADDRINUSE/);
  const socket = createSocket("udp4");
  ok(await tryBind(socket, port));
  socket.close();
  taken.close();
});

test("a host that starts hears nothing of others before it can answer them", async () => {
  // Guards against a process that ends at its start since a fact came too soon.
  const port = await findPort();
  const bytes = createDatagramCodec(FLEET_NAME).encode(factMessage);
  const sender = await startDatagramSender({ bytes, port });
  let isOpen = false;
  const facts: boolean[] = [];
  for (let start = 0; start < STARTS; start++) {
    await using peers = await openHost(`127.0.0.1:${port}`, {
      onFact: () => void facts.push(isOpen),
    });
    isOpen = true;
    const running = Effect.runFork(peers.run);
    await sleep(HEARING_MS);
    await Effect.runPromise(Fiber.interrupt(running));
    isOpen = false;
  }
  await sender.terminate();
  ok(facts.length > 0);
  ok(facts.every(Boolean));
});
