/**
 * Asks one host whether it takes a connection, or tells it of a stop.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import {
  ACCEPTED,
  type AttemptOutcome,
  getHandoffAddress,
} from "./protocol.ts";

/** The answer of a target. */
export type TargetAnswer =
  | {
    readonly outcome: "taken";
    /** The paused connection to the target. */
    readonly socket: Socket;
  }
  | { readonly outcome: Exclude<AttemptOutcome, "taken"> };

/**
 * Connects to the host with this peer address, sends the preface and calls
 * `onAnswer` once, later.
 * Disposal closes the connection without an answer; it has no effect after one.
 */
export function askTarget(
  peerAddress: string,
  preface: Buffer,
  onAnswer: (answer: TargetAnswer) => void,
): Disposable {
  const [host, port] = getHandoffAddress(peerAddress).split(":");
  const socket = connect({
    host: host!,
    port: Number(port),
    allowHalfOpen: true,
    noDelay: true,
  });
  let isAnswered = false;

  function end(answer: TargetAnswer): void {
    if (isAnswered) return;
    isAnswered = true;
    socket.off("data", readAnswer);
    socket.off("end", endUnreachable);
    socket.off("close", endUnreachable);
    if (answer.outcome !== "taken") socket.destroy();
    onAnswer(answer);
  }

  function endUnreachable(): void {
    end({ outcome: "unreachable" });
  }

  function readAnswer(bytes: Buffer): void {
    if (bytes[0] !== ACCEPTED) return end({ outcome: "refused" });
    socket.pause();
    if (bytes.length > 1) socket.unshift(bytes.subarray(1));
    end({ outcome: "taken", socket });
  }

  // `close` follows each error.
  socket.on("error", () => {});
  socket.on("data", readAnswer);
  socket.on("end", endUnreachable);
  socket.on("close", endUnreachable);
  socket.write(preface);

  return {
    [Symbol.dispose]() {
      if (isAnswered) return;
      isAnswered = true;
      socket.destroy();
    },
  };
}
