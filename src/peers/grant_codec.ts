/**
 * The codec of the datagrams about prefill grants. A request takes up to 32
 * bytes, in parallel lists, so that a datagram holds those of many prompts.
 *
 * @module
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type GrantReport, GrantReportSchema } from "../generated/peer_pb.ts";
import type { GrantItem, GrantMessage } from "../grants/types.ts";
import { createAuthenticatedCodec, type DatagramCodec } from "./datagrams.ts";

/** Added to the yield level of a request whose team goes last. */
const DEPRIORITISED = 4;

type ItemOf<K extends GrantItem["kind"]> = Extract<
  GrantItem,
  { readonly kind: K }
>;

function select<K extends GrantItem["kind"]>(
  items: readonly GrantItem[],
  kind: K,
): readonly ItemOf<K>[] {
  return items.filter((each): each is ItemOf<K> => each.kind === kind);
}

function toWire({ session, items }: GrantMessage): GrantReport {
  const requests = select(items, "request").map((each) => each.request);
  const starts = select(items, "start").map((each) => each.start);
  const getNumbers = (kind: "release" | "grant" | "waiting") =>
    select(items, kind).map((each) => each.number);
  return create(GrantReportSchema, {
    session,
    numbers: requests.map((each) => each.number),
    upstreams: requests.map((each) => each.upstream),
    tokens: requests.map((each) => each.tokens),
    serviceTokens: requests.map((each) => each.serviceTokens),
    teams: requests.map((each) => each.team),
    orders: requests.map((each) =>
      each.yields + (each.isDeprioritised ? DEPRIORITISED : 0)
    ),
    agesMs: requests.map((each) => each.ageMs),
    remainingMs: requests.map((each) => each.remainingMs),
    startUpstreams: starts.map((each) => each.upstream),
    startTokens: starts.map((each) => each.tokens),
    startServiceTokens: starts.map((each) => each.serviceTokens),
    startTeams: starts.map((each) => each.team),
    released: getNumbers("release"),
    granted: getNumbers("grant"),
    waiting: getNumbers("waiting"),
  });
}

/** Requires that parallel lists have the length of the first. */
function checkLengths([first, ...others]: readonly (readonly number[])[]) {
  if (others.some((each) => each.length !== first!.length)) {
    throw new TypeError("Lists differ in length");
  }
}

function readYields(order: number): 0 | 1 | 2 {
  const yields = order % DEPRIORITISED;
  if (yields === 0 || yields === 1 || yields === 2) return yields;
  throw new TypeError("Unknown yield level");
}

function readRequests(wire: GrantReport): readonly GrantItem[] {
  checkLengths([
    wire.numbers,
    wire.upstreams,
    wire.tokens,
    wire.serviceTokens,
    wire.teams,
    wire.orders,
    wire.agesMs,
    wire.remainingMs,
  ]);
  return wire.numbers.map((number, at) => ({
    kind: "request",
    request: {
      number,
      upstream: wire.upstreams[at]!,
      tokens: wire.tokens[at]!,
      serviceTokens: wire.serviceTokens[at]!,
      team: wire.teams[at]!,
      yields: readYields(wire.orders[at]!),
      isDeprioritised: wire.orders[at]! >= DEPRIORITISED,
      ageMs: wire.agesMs[at]!,
      remainingMs: wire.remainingMs[at]!,
    },
  }));
}

function readStarts(wire: GrantReport): readonly GrantItem[] {
  const { startUpstreams, startTokens, startServiceTokens, startTeams } = wire;
  checkLengths([startUpstreams, startTokens, startServiceTokens, startTeams]);
  return startUpstreams.map((upstream, at) => ({
    kind: "start",
    start: {
      upstream,
      tokens: startTokens[at]!,
      serviceTokens: startServiceTokens[at]!,
      team: startTeams[at]!,
    },
  }));
}

function readNumbers(
  kind: "release" | "grant" | "waiting",
  numbers: readonly number[],
): readonly GrantItem[] {
  return numbers.map((number) => ({ kind, number }));
}

/** Creates the codec for the fleet with this secret. */
export function createGrantCodec(secret: string): DatagramCodec<GrantMessage> {
  return createAuthenticatedCodec(secret, {
    encode: (message) => toBinary(GrantReportSchema, toWire(message)),
    decode(bytes) {
      const wire = fromBinary(GrantReportSchema, bytes);
      return {
        session: wire.session,
        // A request precedes its cancellation in the same message.
        items: [
          ...readRequests(wire),
          ...readStarts(wire),
          ...readNumbers("release", wire.released),
          ...readNumbers("grant", wire.granted),
          ...readNumbers("waiting", wire.waiting),
        ],
      };
    },
  });
}
