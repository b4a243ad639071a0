/**
 * Upstreams that fall silent while they have a request, for a time or for good:
 * their connections stay open, and nothing is sent.
 *
 * @module
 */

import { once } from "node:events";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Behaviour, UpstreamRequest } from "./forward_fixture.ts";
import { CLOSING_CHUNK, createPiece, createPieces } from "./held_upstream.ts";
import { answer, chunk, streamHead } from "./raw_responses.ts";

/** When an upstream falls silent, and for how long. */
export interface Silence {
  readonly before: "head" | "next-event";
  /** Milliseconds, or "ever" if it never goes on. */
  readonly lasts: number | "ever";
}

/** One request at a fake upstream. */
export interface ServedRequest {
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  /**
   * When the host closed the connection; `undefined` before, and if the stream
   * has ended by then.
   */
  closedMs: number | undefined;
}

/** An upstream of streams that falls silent in those that it begins. */
export interface StreamingUpstream {
  readonly behaviour: Behaviour;
  /** The requests in order of arrival. */
  readonly requests: readonly ServedRequest[];
  /** Resolves when the upstream has fallen silent. */
  readonly isSilent: Promise<void>;
}

/** Number of events of a stream, and of those before a silence. */
const EVENTS = 5;
const EVENTS_BEFORE_SILENCE = 2;

/** Size of an event, in bytes. */
const EVENT_BYTES = 10;

/** Time between two events, in ms. */
const EVENT_INTERVAL_MS = 20;

/** The body of a complete stream. */
export const WHOLE_STREAM = createPieces(EVENTS, EVENT_BYTES).join("");

/** Rejects each request and states that it has not run. */
export const rejectNotRun: Behaviour = (socket) =>
  void socket.write(
    "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
  );

/** Answers each request after a silence, in ms. */
export function createLateAnswer(silentMs: number): Behaviour {
  return (socket, { id }) =>
    void setTimeout(() => socket.write(answer(id, "whole")), silentMs);
}

/** Creates an upstream that sends its streams without a pause. */
export function createSoundStream(): StreamingUpstream {
  return createSilentStream(undefined);
}

/**
 * Creates an upstream that falls silent in each stream that it begins, but not
 * in those that it resumes.
 */
export function createSilentStream(
  silence: Silence | undefined,
  { hasEventIds = true } = {},
): StreamingUpstream {
  const requests: ServedRequest[] = [];
  let onSilent: () => void;
  const isSilent = new Promise<void>((resolve) => onSilent = resolve);

  /** Returns whether the upstream goes on. */
  async function keepSilence(socket: Socket): Promise<boolean> {
    const { lasts } = silence!;
    onSilent();
    await (lasts === "ever" ? once(socket, "close") : sleep(lasts));
    return lasts !== "ever";
  }

  async function sendStream(
    socket: Socket,
    { id, text }: UpstreamRequest,
  ): Promise<void> {
    const resumedAfter = Number(/x-last-event: (\d+)/i.exec(text)?.[1] ?? 0);
    const isSilentBefore = (before: Silence["before"]) =>
      resumedAfter === 0 && silence?.before === before;
    if (isSilentBefore("head") && !await keepSilence(socket)) return;
    socket.write(streamHead(id));
    for (let event = resumedAfter + 1; event <= EVENTS; event++) {
      const mayPause = event === EVENTS_BEFORE_SILENCE + 1;
      if (mayPause && isSilentBefore("next-event")) {
        if (!await keepSilence(socket)) return;
      }
      const piece = createPiece(event, EVENT_BYTES);
      socket.write(chunk(hasEventIds ? piece : removeId(piece)));
      await sleep(EVENT_INTERVAL_MS);
    }
    socket.write(CLOSING_CHUNK);
  }

  return {
    requests,
    isSilent,
    behaviour(socket, request) {
      const served: ServedRequest = {
        arrivedMs: performance.now(),
        closedMs: undefined,
      };
      requests.push(served);
      const onClose = () => void (served.closedMs = performance.now());
      socket.once("close", onClose);
      void sendStream(socket, request).then(() => socket.off("close", onClose));
    },
  };
}

/** Returns the event without its id. */
export function removeId(piece: string): string {
  return piece.replace(/^id: .*\n/, "");
}
