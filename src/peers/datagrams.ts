/**
 * The UDP sockets of the hosts, and the datagram codec of the membership
 * protocol. Datagrams are encoded with Protocol Buffers and authenticated by a
 * MAC.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { createSocket } from "node:dgram";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { isAddress } from "../core/mod.ts";
import {
  type Datagram,
  DatagramSchema,
  MemberState as WireState,
} from "../generated/peer_pb.ts";
import type {
  Member,
  MembershipMessage,
  MemberState,
} from "../membership/mod.ts";

/** A UDP socket. Lost datagrams are expected and not reported. */
export interface DatagramSocket<T = MembershipMessage> extends AsyncDisposable {
  /** Returns the size of the datagram in bytes, for the metrics. */
  send(address: string, message: T): number;
  /** Sends the message to all addresses and encodes it only once. */
  sendToAll(addresses: readonly string[], message: T): void;
}

const toWire: Readonly<Record<MemberState, WireState>> = {
  alive: WireState.ALIVE,
  suspect: WireState.SUSPECT,
  leaving: WireState.LEAVING,
  dead: WireState.DEAD,
};

const fromWire = new Map<WireState, MemberState>(
  Object.entries(toWire).map(([state, wire]) => [wire, state as MemberState]),
);

/** Encodes and decodes authenticated datagrams. */
export interface DatagramCodec<T = MembershipMessage> {
  encode(message: T): Uint8Array;
  /** Returns `undefined` for a datagram that no host of the fleet has sent. */
  tryDecode(bytes: Uint8Array): T | undefined;
}

/**
 * Encodes and decodes the message inside a datagram; `decode` throws on invalid
 * bytes.
 */
export interface MessageFormat<T> {
  encode(message: T): Uint8Array;
  decode(bytes: Uint8Array): T;
}

/**
 * Length of the MAC (a truncated HMAC-SHA-256) at the end of each datagram, in
 * bytes. Without it, anyone who can reach the port could declare hosts dead. 12
 * bytes can't be guessed during the lifetime of a secret, and the other 20
 * bytes would add a fifth to a plain probe. Replaying a recorded datagram has
 * no effect, because its contents are not newer than what is known.
 */
const MAC_BYTES = 12;

/**
 * Creates the codec of the membership protocol for the fleet with this secret.
 */
export function createDatagramCodec(secret: string): DatagramCodec {
  return createAuthenticatedCodec(secret, {
    encode: (message) => toBinary(DatagramSchema, toDatagram(message)),
    decode: (bytes) => toMessage(fromBinary(DatagramSchema, bytes)),
  });
}

/** Creates a codec that adds and verifies a MAC with the fleet's secret. */
export function createAuthenticatedCodec<T>(
  secret: string,
  format: MessageFormat<T>,
): DatagramCodec<T> {
  function computeMac(content: Uint8Array): Uint8Array {
    const mac = createHmac("sha256", secret).update(content).digest();
    return mac.subarray(0, MAC_BYTES);
  }

  return {
    encode(message) {
      const content = format.encode(message);
      const bytes = new Uint8Array(content.length + MAC_BYTES);
      bytes.set(content);
      bytes.set(computeMac(content), content.length);
      return bytes;
    },
    tryDecode(bytes) {
      if (bytes.length < MAC_BYTES) return undefined;
      const content = bytes.subarray(0, bytes.length - MAC_BYTES);
      const mac = bytes.subarray(content.length);
      if (!timingSafeEqual(mac, computeMac(content))) return undefined;
      try {
        return format.decode(content);
      } catch {
        return undefined;
      }
    },
  };
}

/** Dependencies of a UDP socket. */
export interface DatagramsHost<T> {
  readonly codec: DatagramCodec<T>;
  readonly onMessage: (message: T, sender: string) => void;
  /** Called with the exception of a message that can't be handled or sent. */
  readonly onFailed: (reason: string) => void;
}

/**
 * Opens a UDP socket on the address, an IP and a port.
 *
 * Failure prevented: a host of other software says something that this one can't
 * handle. Nothing else catches that, and the process would end, as would each
 * host to which it is passed on, and again once it is back.
 */
export async function openDatagrams<T>(
  address: string,
  { codec, onMessage, onFailed }: DatagramsHost<T>,
): Promise<DatagramSocket<T>> {
  const socket = createSocket("udp4");
  const [host, port] = address.split(":");
  socket.on("message", (bytes, sender) => {
    const message = codec.tryDecode(bytes);
    if (message === undefined) return;
    try {
      onMessage(message, `${sender.address}:${sender.port}`);
    } catch (err) {
      onFailed(String(err));
    }
  });
  await new Promise<void>((resolve, reject) => {
    socket.once("error", (err) => {
      socket.close();
      reject(err);
    });
    socket.bind(Number(port), host, () => resolve());
  });
  // Sending to a dead host may cause an error event; the probes detect that
  // host anyway.
  socket.on("error", () => {});

  let isClosed = false;

  function sendBytes(target: string, bytes: Uint8Array): void {
    // Requests that end as the host stops still have something to tell.
    if (isClosed) return;
    if (!isAddress(target)) return onFailed(`"${target}" is no address`);
    const [targetHost, targetPort] = target.split(":");
    socket.send(bytes, Number(targetPort), targetHost);
  }

  return {
    send(target, message) {
      const bytes = codec.encode(message);
      sendBytes(target, bytes);
      return bytes.length;
    },
    sendToAll(addresses, message) {
      const bytes = codec.encode(message);
      for (const target of addresses) sendBytes(target, bytes);
    },
    async [Symbol.asyncDispose]() {
      isClosed = true;
      await new Promise<void>((resolve) => socket.close(resolve));
    },
  };
}

function toDatagram(message: MembershipMessage): Datagram {
  return create(DatagramSchema, {
    from: message.from,
    incarnation: message.incarnation,
    sequence: message.sequence,
    ack: message.isAck,
    wantsSync: message.wantsSync,
    probeTarget: message.probeTarget,
    configVersion: message.configVersion,
    configDigest: Buffer.from(message.configDigest, "hex"),
    updates: message.updates.map((member) => ({
      ...member,
      state: toWire[member.state],
    })),
    facts: [...message.facts],
    directFacts: [...message.directFacts],
  });
}

function toMessage(datagram: Datagram): MembershipMessage {
  return {
    from: datagram.from,
    incarnation: datagram.incarnation,
    sequence: datagram.sequence,
    isAck: datagram.ack,
    wantsSync: datagram.wantsSync,
    probeTarget: datagram.probeTarget,
    configVersion: datagram.configVersion,
    configDigest: Buffer.from(datagram.configDigest).toString("hex"),
    updates: datagram.updates.flatMap(toMembers),
    facts: datagram.facts,
    directFacts: datagram.directFacts,
  };
}

function toMembers(
  update: Datagram["updates"][number],
): readonly Member[] {
  const state = fromWire.get(update.state);
  // To a larger number nothing can be added, and so it can't be overridden.
  const isUsable = Math.abs(update.incarnation) <= Number.MAX_SAFE_INTEGER;
  return state !== undefined && isUsable ? [{ ...update, state }] : [];
}
