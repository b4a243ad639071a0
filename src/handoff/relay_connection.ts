/**
 * Relays the bytes of a caller's connection to the host that took it, and the
 * response back, unchanged.
 *
 * Load: thousands of responses, some long and read slowly, that an overloaded
 * host only passes on. Failures prevented: a truncated response that looks
 * complete; a disconnect that the target does not see; a response that
 * accumulates in memory while its caller reads slowly; a request of a caller that
 * has already left; a request that is lost with a target that has read nothing
 * of it.
 *
 * Apart from what is read from the caller in the first two event-loop
 * iterations, the relay holds no bytes besides the buffers of the two sockets,
 * since each is read only while the other accepts data. Its only timers run
 * after an end: the target applies the time-outs of callers.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { startTimeout } from "../core/mod.ts";

/**
 * Time for a target to close its connection after the caller's end was passed
 * on, in ms. A target that is not frozen does so at once, since a caller that
 * ends its connection has left.
 */
const TARGET_CLOSE_TIMEOUT_MS = 1_000;

/** Time for a peer to end its connection behind this host's end, in ms. */
const PEER_END_TIMEOUT_MS = 1_000;

/** The two connections of a relay. Both allow half-open connections. */
export interface RelayedSockets {
  readonly caller: Socket;
  readonly target: Socket;
}

/** Why a relay closed the caller's connection in place of the target. */
export type RelayCut = "target-lost" | "target-silent" | "exit";

/** What a relay reports. */
export interface RelayEvents {
  /** Called if the caller's connection is reset, right before. */
  onCut(cause: RelayCut): void;
  /**
   * Called if the target closes its connection before a byte was passed on: the
   * caller's connection is no longer part of the relay.
   */
  onReturned(): void;
  /** Called once the connections of the relay are closed. */
  onClosed(): void;
}

/** A relay. Disposal resets both connections. */
export interface Relay extends Disposable {
  /** Whether a byte has been passed on, in either direction. */
  isUsed(): boolean;
  /**
   * Closes the target's connection and releases the caller's, from which no
   * byte of a request counts as read. Only for a relay that isn't used.
   */
  release(): void;
  /** Reads no more from the caller until `resumePassingOn`. */
  pausePassingOn(): void;
  resumePassingOn(): void;
}

/** Starts the relay. */
export function relayConnection(
  { caller, target }: RelayedSockets,
  { onCut, onReturned, onClosed }: RelayEvents,
): Relay {
  let openSockets = 2;
  let hasPassedOn = false;
  let isReleased = false;
  /** Whether the target has ended its connection in order, behind a response. */
  let isAnswered = false;
  let closeTimeout: Disposable | undefined;
  // The end of a caller that has left is read one iteration after its request.
  const held: Buffer[] = [];
  let iteration: NodeJS.Immediate | undefined;

  function countClosed(): void {
    openSockets--;
    if (openSockets === 0) onClosed();
  }

  function isUsed(): boolean {
    return hasPassedOn || caller.bytesWritten > 0;
  }

  function onCallerClosed(): void {
    reset(target);
    countClosed();
  }

  function onTargetClosed(): void {
    closeTimeout?.[Symbol.dispose]();
    if (!isAnswered) loseTarget();
    countClosed();
  }

  /** The target's connection has failed, or was closed before it was used. */
  function loseTarget(): void {
    if (caller.destroyed || isReleased) return;
    if (isUsed()) return cut("target-lost");
    release();
    onReturned();
  }

  // An HTTP server closes its connection in both directions at once. Bytes that
  // the caller sends after that would make the target's kernel reset the
  // connection, which must not cut off the end of the response.
  function onTargetEnded(): void {
    closeTimeout?.[Symbol.dispose]();
    if (!isUsed() || isResetRead(target)) return loseTarget();
    isAnswered = true;
    stopHolding();
    caller.unpipe(target);
    caller.resume();
    target.destroy();
    closeOnceEnded(caller);
  }

  function hold(bytes: Buffer): void {
    held.push(bytes);
    iteration ??= setImmediate(() => iteration = setImmediate(passOn));
  }

  function stopHolding(): void {
    clearImmediate(iteration);
    caller.off("data", hold);
    caller.off("end", resetBoth);
  }

  /** Puts back what was read and not passed on. */
  function unreadHeld(): void {
    caller.pause();
    if (held.length > 0) caller.unshift(Buffer.concat(held.splice(0)));
  }

  function passOn(): void {
    stopHolding();
    if (caller.destroyed || target.destroyed) return;
    hasPassedOn = true;
    unreadHeld();
    // A pipe waits for its destination to drain, and ends it after its source.
    caller.pipe(target);
    caller.on("end", () => {
      if (target.readableEnded || target.destroyed) return;
      closeTimeout = startTimeout(
        TARGET_CLOSE_TIMEOUT_MS,
        () => cut("target-silent"),
      );
    });
  }

  function release(): void {
    isReleased = true;
    stopHolding();
    target.unpipe(caller);
    caller.off("error", ignoreError);
    caller.off("close", onCallerClosed);
    unreadHeld();
    countClosed();
    reset(target);
  }

  /** Resets the caller's connection; the target's follows it. */
  function cut(cause: RelayCut): void {
    if (caller.destroyed || isAnswered) return;
    onCut(cause);
    reset(caller);
  }

  function resetBoth(): void {
    reset(caller);
    reset(target);
  }

  // `close` follows each error, which therefore needs no handling of its own.
  caller.on("error", ignoreError);
  target.on("error", ignoreError);
  caller.on("close", onCallerClosed);
  target.on("close", onTargetClosed);
  target.on("end", onTargetEnded);
  caller.on("data", hold);
  caller.on("end", resetBoth);
  caller.resume();
  target.pipe(caller, { end: false });

  return {
    isUsed,
    release,
    pausePassingOn() {
      if (isAnswered) return;
      caller.unpipe(target);
      caller.pause();
    },
    resumePassingOn() {
      if (isAnswered || caller.destroyed || target.destroyed) return;
      caller.pipe(target);
    },
    [Symbol.dispose]() {
      cut("exit");
      reset(target);
    },
  };
}

function ignoreError(): void {}

/**
 * Ends the connection and closes it once its peer has ended it too: closing it
 * while bytes arrive resets it, which can cost the peer what it has not read.
 */
function closeOnceEnded(socket: Socket): void {
  if (socket.readableEnded) return socket.destroySoon();
  socket.once("end", () => socket.destroySoon());
  socket.end(() => {
    const timeout = startTimeout(PEER_END_TIMEOUT_MS, () => socket.destroy());
    socket.once("close", () => timeout[Symbol.dispose]());
  });
}

/**
 * Whether the end of the input is a reset. Node reports a reset that arrives
 * together with the last bytes as an orderly end. A connection that was reset
 * has no peer any more; neither has one that both sides have ended in order.
 *
 * Node keeps the peer's address once it was asked for it, so this is the only
 * place that may ask for that of a target.
 */
function isResetRead(socket: Socket): boolean {
  return !socket.writableEnded && socket.remoteAddress === undefined;
}

/**
 * Resets the connection, so that its peer can't take what it has received for
 * complete. While the socket's end is being sent, a reset would fail and leave
 * the connection open; it then follows the end, which is already decided.
 */
export function reset(socket: Socket): void {
  if (socket.destroyed) return;
  const isEndUnderWay = socket.writableEnded && socket.writableLength === 0 &&
    !socket.writableFinished;
  if (isEndUnderWay) socket.once("finish", () => reset(socket));
  else socket.resetAndDestroy();
}
